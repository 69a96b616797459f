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

// Problem is an error at one place of a release note file.
type Problem struct {
	// File is the name of the file.
	File string
	// Line is the 1-based line of the key or value.
	Line int
	// Key is the path of the key, such as added.workspaces[0].name. It is empty for the file as a whole.
	Key string
	// Expected describes the valid values.
	Expected string
}

// String returns the problem as "file:line: key: expected ...".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: expected %s", p.File, p.Line, p.Expected)
	}
	return fmt.Sprintf("%s:%d: %s: expected %s", p.File, p.Line, p.Key, p.Expected)
}

// ParseNote parses a release note in YAML or JSON and returns all problems, ordered by line. The note is valid only
// if there are none. Checks that depend on the current configuration, such as references to other items, are made
// when the note is applied and are reported by its verdict.
func ParseNote(file string, data []byte) (ReleaseNote, []Problem) {
	p := &noteParser{file: file, lines: map[string]int{"": 1}}
	var note ReleaseNote
	if body := p.parseDocument(data); body != nil {
		p.decodeValue(body, reflect.ValueOf(&note).Elem(), "")
		p.requireKeys("id", "base")
		p.checkNote(&note)
	}
	slices.SortStableFunc(p.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return note, p.problems
}

// noteParser decodes the syntax tree of one file. It walks the tree itself, because the decoder of the YAML library
// stops at the first error.
type noteParser struct {
	file     string
	problems []Problem
	// lines holds the line of each path that occurs in the file.
	lines map[string]int
}

// addProblem adds a problem. The arguments format the expected value.
func (p *noteParser) addProblem(line int, key, want string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Expected: fmt.Sprintf(want, args...)})
}

// parseDocument parses the file and returns the root node of its only document, or nil after adding a problem.
func (p *noteParser) parseDocument(data []byte) ast.Node {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.addSyntaxError(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		p.addProblem(1, "", "one release note in the file")
		return nil
	}
	return file.Docs[0].Body
}

// addSyntaxError adds a problem for an error of the YAML parser, at its line if that is known.
func (p *noteParser) addSyntaxError(err error) {
	line, message := 1, err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if tk := located.GetToken(); tk != nil && tk.Position != nil {
			line = tk.Position.Line
		}
	}
	p.addProblem(line, "", "YAML or JSON (%s)", message)
}

// decodeValue decodes a node into a Go value and adds a problem for each value of the wrong type.
func (p *noteParser) decodeValue(node ast.Node, into reflect.Value, path string) {
	if node.Type() == ast.NullType && mayBeNull(into.Kind()) {
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		p.decodeValue(node, into.Elem(), path)
	case reflect.Struct:
		p.decodeMapping(node, into, path)
	case reflect.Slice:
		p.decodeSequence(node, into, path)
	case reflect.String:
		p.decodeText(node, into, path)
	case reflect.Bool:
		p.decodeBoolean(node, into, path)
	default:
		p.decodeInteger(node, into, path)
	}
}

// mayBeNull reports whether null is accepted for a type and leaves it empty.
func mayBeNull(kind reflect.Kind) bool {
	return kind == reflect.Pointer || kind == reflect.Struct || kind == reflect.Slice
}

func (p *noteParser) decodeMapping(node ast.Node, into reflect.Value, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		p.addProblem(lineOfNode(node), path, "keys with values")
		return
	}
	fields := fieldIndexes(into.Type())
	seen := map[string]bool{}
	for entries := m.MapRange(); entries.Next(); {
		key := entries.Key().GetToken().Value
		line := entries.Key().GetToken().Position.Line
		inner := joinPath(path, key)
		index, known := fields[key]
		switch {
		case !known:
			p.addProblem(line, inner, "one of the keys %s", knownKeys(into.Type()))
		case seen[key]:
			p.addProblem(line, inner, "each key once")
		default:
			p.lines[inner] = line
			p.decodeValue(entries.Value(), into.Field(index), inner)
		}
		seen[key] = true
	}
}

func (p *noteParser) decodeSequence(node ast.Node, into reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		p.addProblem(lineOfNode(node), path, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values)))
	for i, element := range list.Values {
		inner := fmt.Sprintf("%s[%d]", path, i)
		p.lines[inner] = lineOfNode(element)
		p.decodeValue(element, into.Index(i), inner)
	}
}

func (p *noteParser) decodeText(node ast.Node, into reflect.Value, path string) {
	switch n := node.(type) {
	case *ast.StringNode:
		into.SetString(n.Value)
	case *ast.LiteralNode:
		into.SetString(n.Value.Value)
	default:
		p.addProblem(lineOfNode(node), path, "text; put numbers, dates and true or false in quotes")
	}
}

func (p *noteParser) decodeBoolean(node ast.Node, into reflect.Value, path string) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		p.addProblem(lineOfNode(node), path, "true or false")
		return
	}
	into.SetBool(n.Value)
}

func (p *noteParser) decodeInteger(node ast.Node, into reflect.Value, path string) {
	if n, ok := node.(*ast.IntegerNode); ok {
		if value, ok := toInt64(n.Value); ok {
			into.SetInt(value)
			return
		}
	}
	p.addProblem(lineOfNode(node), path, expectedInteger)
}

// toInt64 converts the value of an integer node and reports whether it fits.
func toInt64(value any) (int64, bool) {
	switch v := value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

// requireKeys adds a problem for each missing top-level key.
func (p *noteParser) requireKeys(keys ...string) {
	for _, key := range keys {
		if _, ok := p.lines[key]; !ok {
			p.addProblem(1, key, "a value; the key is missing")
		}
	}
}

// checkNote checks the values that can be checked without the current configuration.
func (p *noteParser) checkNote(note *ReleaseNote) {
	c := &checker{}
	checkNoteFields(note, c)
	p.addViolations("", c)
	firstPaths := map[Ref]string{}
	p.checkItems("added", &note.Added, firstPaths)
	p.checkItems("changed", &note.Changed, firstPaths)
	for i, ref := range note.Withdrawn {
		path := fmt.Sprintf("withdrawn[%d]", i)
		c := &checker{}
		checkWithdrawnRef(&ref, c)
		p.addViolations(path, c)
		p.expectListedOnce(path, ref, firstPaths)
	}
}

// checkItems checks the items below path. firstPaths holds the first path at which each item is listed.
func (p *noteParser) checkItems(path string, items *Items, firstPaths map[Ref]string) {
	checkList(p, path+".workspaces", workspaceTraits, items.Workspaces, firstPaths)
	checkList(p, path+".keys", keyTraits, items.Keys, firstPaths)
	checkList(p, path+".models", modelTraits, items.Models, firstPaths)
	checkList(p, path+".routes", routeTraits, items.Routes, firstPaths)
	checkList(p, path+".endpoints", endpointTraits, items.Endpoints, firstPaths)
	if items.Defaults == nil {
		return
	}
	c := &checker{}
	checkDefaults(items.Defaults, c)
	p.addViolations(path+".defaults", c)
	p.expectListedOnce(path+".defaults", Ref{Kind: KindDefaults, Name: DefaultsName}, firstPaths)
}

// checkList checks the items of one kind.
func checkList[T any](p *noteParser, path string, kindTraits traits[T], items []T, firstPaths map[Ref]string) {
	for i := range items {
		inner := fmt.Sprintf("%s[%d]", path, i)
		c := &checker{}
		kindTraits.check(&items[i], c)
		p.addViolations(inner, c)
		p.expectListedOnce(inner, Ref{Kind: kindTraits.kind, Name: kindTraits.name(&items[i])}, firstPaths)
	}
}

// addViolations adds the violations of one item as problems, except for fields that already have one because they
// could not be decoded.
func (p *noteParser) addViolations(path string, c *checker) {
	for _, f := range c.violations {
		key := joinPath(path, f.field)
		if p.hasProblem(key) {
			continue
		}
		p.addProblem(p.lineOfPath(key, path), key, "%s", f.expected)
	}
}

// hasProblem reports whether the key already has a problem.
func (p *noteParser) hasProblem(key string) bool {
	return slices.ContainsFunc(p.problems, func(other Problem) bool { return other.Key == key })
}

// lineOfPath returns the line of the first path that occurs in the file, or 1 if none does.
func (p *noteParser) lineOfPath(paths ...string) int {
	for _, path := range paths {
		if line, ok := p.lines[path]; ok {
			return line
		}
	}
	return 1
}

// expectListedOnce adds a problem if the note already lists the item at another path.
func (p *noteParser) expectListedOnce(path string, ref Ref, firstPaths map[Ref]string) {
	if first, ok := firstPaths[ref]; ok {
		p.addProblem(p.lineOfPath(path), path, "each item once; %s %s is also listed at %s", ref.Kind, quote(ref.Name), first)
		return
	}
	firstPaths[ref] = path
}

// lineOfNode returns the line of a node, or 1 if it is unknown.
func lineOfNode(node ast.Node) int {
	tk := node.GetToken()
	if tk == nil || tk.Position == nil {
		return 1
	}
	return tk.Position.Line
}

// joinPath appends a key to a path with a dot between them. Either may be empty.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
}
