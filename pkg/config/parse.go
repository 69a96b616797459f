package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one thing that is wrong in a release note file.
type Problem struct {
	// File is the name of the file.
	File string
	// Line is the line of the key or value, from 1.
	Line int
	// Key is the path of the key, such as added.workspaces[0].name.
	Key string
	// Want tells what was expected.
	Want string
}

// String returns "file:line: key: expected what".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: expected %s", p.File, p.Line, p.Want)
	}
	return fmt.Sprintf("%s:%d: %s: expected %s", p.File, p.Line, p.Key, p.Want)
}

// ParseNote reads a release note in YAML or JSON and returns every problem at once, in order of line. The note is
// usable only when there is no problem. What depends on the configuration in force, such as references, is
// decided by the verdict.
func ParseNote(file string, data []byte) (ReleaseNote, []Problem) {
	p := &noteParser{file: file, lines: map[string]int{"": 1}}
	var note ReleaseNote
	if body := p.document(data); body != nil {
		p.value(body, reflect.ValueOf(&note).Elem(), "")
		p.require("id", "base")
		p.checkNote(&note)
	}
	slices.SortStableFunc(p.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return note, p.problems
}

// noteParser decodes the syntax tree of one file. The decoder of the YAML library stops at the first error,
// so the tree is walked here.
type noteParser struct {
	file     string
	problems []Problem
	// lines holds the line of each path that the file contains.
	lines map[string]int
}

func (p *noteParser) problem(line int, key, want string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Want: fmt.Sprintf(want, args...)})
}

// document parses the text and returns the node of the only document.
func (p *noteParser) document(data []byte) ast.Node {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.syntaxError(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		p.problem(1, "", "one release note in the file")
		return nil
	}
	return file.Docs[0].Body
}

func (p *noteParser) syntaxError(err error) {
	line, message := 1, err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if tk := located.GetToken(); tk != nil && tk.Position != nil {
			line = tk.Position.Line
		}
	}
	p.problem(line, "", "YAML or JSON (%s)", message)
}

// value decodes a node into a Go value and reports what does not fit.
func (p *noteParser) value(node ast.Node, into reflect.Value, path string) {
	if node.Type() == ast.NullType && isContainer(into.Kind()) {
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		p.value(node, into.Elem(), path)
	case reflect.Struct:
		p.mapping(node, into, path)
	case reflect.Slice:
		p.sequence(node, into, path)
	case reflect.String:
		p.text(node, into, path)
	case reflect.Bool:
		p.boolean(node, into, path)
	default:
		p.integer(node, into, path)
	}
}

// isContainer tells whether a key without a value means that nothing is listed.
func isContainer(kind reflect.Kind) bool {
	return kind == reflect.Pointer || kind == reflect.Struct || kind == reflect.Slice
}

func (p *noteParser) mapping(node ast.Node, into reflect.Value, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		p.problem(lineOf(node), path, "keys with values")
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for entries := m.MapRange(); entries.Next(); {
		key := entries.Key().GetToken().Value
		line := entries.Key().GetToken().Position.Line
		inner := join(path, key)
		index, known := fields[key]
		switch {
		case !known:
			p.problem(line, inner, "one of the keys %s", knownKeys(into.Type()))
		case seen[key]:
			p.problem(line, inner, "each key once")
		default:
			p.lines[inner] = line
			p.value(entries.Value(), into.Field(index), inner)
		}
		seen[key] = true
	}
}

func (p *noteParser) sequence(node ast.Node, into reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		p.problem(lineOf(node), path, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values)))
	for i, element := range list.Values {
		inner := fmt.Sprintf("%s[%d]", path, i)
		p.lines[inner] = lineOf(element)
		p.value(element, into.Index(i), inner)
	}
}

func (p *noteParser) text(node ast.Node, into reflect.Value, path string) {
	switch n := node.(type) {
	case *ast.StringNode:
		into.SetString(n.Value)
	case *ast.LiteralNode:
		into.SetString(n.Value.Value)
	default:
		p.problem(lineOf(node), path, "text; put numbers, dates and true or false in quotes")
	}
}

func (p *noteParser) boolean(node ast.Node, into reflect.Value, path string) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		p.problem(lineOf(node), path, "true or false")
		return
	}
	into.SetBool(n.Value)
}

func (p *noteParser) integer(node ast.Node, into reflect.Value, path string) {
	if n, ok := node.(*ast.IntegerNode); ok {
		if value, ok := signed(n.Value); ok {
			into.SetInt(value)
			return
		}
	}
	p.problem(lineOf(node), path, wantInteger)
}

// signed converts the value of an integer node where it fits.
func signed(value any) (int64, bool) {
	switch v := value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

// require reports keys of the note that are missing.
func (p *noteParser) require(keys ...string) {
	for _, key := range keys {
		if _, ok := p.lines[key]; !ok {
			p.problem(1, key, "a value; the key is missing")
		}
	}
}

// checkNote reports values that are wrong in themselves.
func (p *noteParser) checkNote(note *ReleaseNote) {
	c := &checker{}
	checkHeader(note, c)
	p.report("", c)
	listed := map[Ref]string{}
	p.checkItems("added", &note.Added, listed)
	p.checkItems("changed", &note.Changed, listed)
	for i, ref := range note.Withdrawn {
		path := fmt.Sprintf("withdrawn[%d]", i)
		c := &checker{}
		checkRef(&ref, c)
		p.report(path, c)
		p.once(path, ref, listed)
	}
}

func (p *noteParser) checkItems(path string, items *Items, listed map[Ref]string) {
	checkList(p, path+".workspaces", workspaceTraits, items.Workspaces, listed)
	checkList(p, path+".keys", keyTraits, items.Keys, listed)
	checkList(p, path+".models", modelTraits, items.Models, listed)
	checkList(p, path+".routes", routeTraits, items.Routes, listed)
	checkList(p, path+".endpoints", endpointTraits, items.Endpoints, listed)
	if items.Defaults == nil {
		return
	}
	c := &checker{}
	checkDefaults(items.Defaults, c)
	p.report(path+".defaults", c)
	p.once(path+".defaults", Ref{Kind: KindDefaults, Name: DefaultsName}, listed)
}

func checkList[T any](p *noteParser, path string, tr traits[T], items []T, listed map[Ref]string) {
	for i := range items {
		inner := fmt.Sprintf("%s[%d]", path, i)
		c := &checker{}
		tr.check(&items[i], c)
		p.report(inner, c)
		p.once(inner, Ref{Kind: tr.kind, Name: tr.name(&items[i])}, listed)
	}
}

// report adds the faults of one item, except for fields that could not be decoded.
func (p *noteParser) report(path string, c *checker) {
	for _, f := range c.faults {
		key := join(path, f.field)
		if p.reported(key) {
			continue
		}
		p.problem(p.lineAt(key, path), key, "%s", f.want)
	}
}

// reported tells whether the key has a problem already.
func (p *noteParser) reported(key string) bool {
	return slices.ContainsFunc(p.problems, func(other Problem) bool { return other.Key == key })
}

func (p *noteParser) lineAt(paths ...string) int {
	for _, path := range paths {
		if line, ok := p.lines[path]; ok {
			return line
		}
	}
	return 1
}

// once reports an item that the note lists in two places.
func (p *noteParser) once(path string, ref Ref, listed map[Ref]string) {
	if first, ok := listed[ref]; ok {
		p.problem(p.lineAt(path), path, "each item once; %s %s is also listed at %s", ref.Kind, quote(ref.Name), first)
		return
	}
	listed[ref] = path
}

func lineOf(node ast.Node) int {
	tk := node.GetToken()
	if tk == nil || tk.Position == nil {
		return 1
	}
	return tk.Position.Line
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
}
