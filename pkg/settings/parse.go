package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// minPeerTokenLength makes guessing a peer token infeasible. In bytes.
const minPeerTokenLength = 16

// namePattern matches valid names of VMs and data centres.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker checks one file and collects its problems.
type checker struct {
	file     string
	problems []Problem
}

func (c *checker) report(line int, key, expected, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File:     c.file,
		Line:     line,
		Key:      key,
		Message:  fmt.Sprintf(format, args...),
		Expected: expected,
	})
}

// field describes one key of a mapping and how its value is checked.
type field struct {
	key      string
	required bool
	// expected describes a valid value for messages.
	expected string
	// set stores the value and reports whether it is valid.
	set func(value string) bool
	// nested returns the fields of a value that is itself a mapping. If it is nil, the value is a scalar.
	nested func() []field
}

// Parse parses and checks the settings in data. The argument file names the source in problems.
func Parse(file string, data []byte) (Settings, []Problem) {
	s := Settings{
		PlacementPolicy:   DefaultPlacementPolicy,
		DrainDelay:        DefaultDrainDelay,
		MaxBodyBytes:      DefaultMaxBodyBytes,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
		Workers:           DefaultWorkers,
		QueuePerWorkspace: DefaultQueuePerWorkspace,
		LogLevel:          DefaultLogLevel,
		TimelineEvents:    DefaultTimelineEvents,
	}
	c := &checker{file: file}
	doc, err := parser.ParseBytes(data, 0)
	if err != nil {
		c.report(lineOf(err), "-", "YAML", "%s", firstLine(err))
		return s, c.problems
	}
	root := rootMapping(doc)
	if root == nil {
		c.report(1, "-", "a mapping of settings", "the file holds no mapping")
		return s, c.problems
	}
	c.checkMapping(root.Values, 1, "", settingsFields(&s))
	s.PeerAdvertiseAddress = cmp.Or(s.PeerAdvertiseAddress, s.PeerAddress)
	return s, c.problems
}

// rootMapping returns the top-level mapping of doc, or nil if there is none.
func rootMapping(doc *ast.File) *ast.MappingNode {
	if len(doc.Docs) == 0 {
		return nil
	}
	node, _ := doc.Docs[0].Body.(*ast.MappingNode)
	return node
}

// checkMapping checks the entries of a mapping against its fields. It reports missing keys at line.
func (c *checker) checkMapping(entries []*ast.MappingValueNode, line int, prefix string, fields []field) {
	seen := map[string]bool{}
	for _, entry := range entries {
		key := entry.Key.String()
		entryLine := entry.Key.GetToken().Position.Line
		i := slices.IndexFunc(fields, func(f field) bool { return f.key == key })
		if i < 0 {
			c.report(entryLine, prefix+key, "one of "+keyList(fields), "unknown key")
			continue
		}
		if seen[key] {
			c.report(entryLine, prefix+key, "the key once", "duplicate key")
			continue
		}
		seen[key] = true
		c.checkValue(entry, entryLine, prefix, fields[i])
	}
	for _, f := range fields {
		if f.required && !seen[f.key] {
			c.report(line, prefix+f.key, f.expected, "missing key")
		}
	}
}

// checkValue checks and stores the value of one entry.
func (c *checker) checkValue(entry *ast.MappingValueNode, line int, prefix string, f field) {
	if f.nested != nil {
		node, ok := entry.Value.(*ast.MappingNode)
		if !ok {
			c.report(line, prefix+f.key, f.expected, "not a mapping")
			return
		}
		c.checkMapping(node.Values, line, prefix+f.key+".", f.nested())
		return
	}
	scalar, ok := entry.Value.(ast.ScalarNode)
	if !ok {
		c.report(line, prefix+f.key, f.expected, "not a single value")
		return
	}
	value := fmt.Sprint(scalar.GetValue())
	if !f.set(value) {
		c.report(line, prefix+f.key, f.expected, "bad value %q", value)
	}
}

// keyList returns the keys of the fields, separated by commas.
func keyList(fields []field) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.key)
	}
	return strings.Join(names, ", ")
}

// settingsFields returns the fields of the settings file, which store their values in s.
func settingsFields(s *Settings) []field {
	return []field{
		nameField("vm", &s.VM),
		nameField("data_centre", &s.DataCentre),
		addressField("caller_address", &s.CallerAddress),
		addressField("peer_address", &s.PeerAddress),
		optionalField(addressField("peer_advertise_address", &s.PeerAdvertiseAddress)),
		addressField("log_address", &s.LogAddress),
		addressField("vm_list_address", &s.VMListAddress),
		tokenField("peer_token", &s.PeerToken),
		peerTLSField("peer_tls", s),
		callerTLSField("caller_tls", s),
		choiceField("placement_policy", &s.PlacementPolicy, "corneldeal", "round_robin", "least_load", "prefix_hash"),
		millisField("drain_delay_ms", &s.DrainDelay),
		countField("max_body_bytes", &s.MaxBodyBytes, 1024, 256<<20),
		countField("max_header_bytes", &s.MaxHeaderBytes, 1024, 1<<20),
		countField("workers", &s.Workers, 1, 1<<20),
		countField("queue_per_workspace", &s.QueuePerWorkspace, 1, 1<<20),
		choiceField("log_level", &s.LogLevel, "debug", "info", "warn", "error"),
		countField("timeline_events", &s.TimelineEvents, 16, 1<<20),
	}
}

func nameField(key string, target *string) field {
	return field{key: key, required: true, expected: "a name of 1 to 63 characters of a-z, 0-9 and -", set: func(v string) bool {
		*target = v
		return namePattern.MatchString(v)
	}}
}

func addressField(key string, target *string) field {
	return field{key: key, required: true, expected: "IP:port", set: func(v string) bool {
		*target = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	}}
}

func optionalField(f field) field {
	f.required = false
	return f
}

func tokenField(key string, target *string) field {
	expected := fmt.Sprintf("a secret of at least %d characters", minPeerTokenLength)
	return field{key: key, required: true, expected: expected, set: func(v string) bool {
		*target = v
		return len(v) >= minPeerTokenLength
	}}
}

func choiceField(key string, target *string, choices ...string) field {
	return field{key: key, expected: "one of " + strings.Join(choices, ", "), set: func(v string) bool {
		*target = v
		return slices.Contains(choices, v)
	}}
}

func countField(key string, target *int, minimum, maximum int) field {
	expected := fmt.Sprintf("a number from %d to %d", minimum, maximum)
	return field{key: key, expected: expected, set: func(v string) bool {
		n, err := strconv.Atoi(v)
		*target = n
		return err == nil && n >= minimum && n <= maximum
	}}
}

func millisField(key string, target *time.Duration) field {
	const maxMillis = 600_000
	expected := fmt.Sprintf("milliseconds from 0 to %d", maxMillis)
	return field{key: key, expected: expected, set: func(v string) bool {
		n, err := strconv.Atoi(v)
		*target = time.Duration(n) * time.Millisecond
		return err == nil && n >= 0 && n <= maxMillis
	}}
}

func fileField(key string, target *string) field {
	return field{key: key, required: true, expected: "a file name", set: func(v string) bool {
		*target = v
		return v != ""
	}}
}

func peerTLSField(key string, s *Settings) field {
	return field{key: key, expected: "a mapping of cert_file, key_file and ca_file", nested: func() []field {
		s.PeerTLS = &PeerTLS{}
		return []field{
			fileField("cert_file", &s.PeerTLS.CertFile),
			fileField("key_file", &s.PeerTLS.KeyFile),
			fileField("ca_file", &s.PeerTLS.CAFile),
		}
	}}
}

func callerTLSField(key string, s *Settings) field {
	return field{key: key, expected: "a mapping of cert_file and key_file", nested: func() []field {
		s.CallerTLS = &KeyPair{}
		return []field{
			fileField("cert_file", &s.CallerTLS.CertFile),
			fileField("key_file", &s.CallerTLS.KeyFile),
		}
	}}
}

// lineInError matches the position, as [line:column], in an error of the YAML package.
var lineInError = regexp.MustCompile(`\[(\d+):\d+\]`)

// lineOf returns the line number in a YAML error, or 1 if it has none.
func lineOf(err error) int {
	match := lineInError.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	n, _ := strconv.Atoi(match[1])
	return n
}

// firstLine returns the first line of the error text. The rest is an excerpt of the source.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
