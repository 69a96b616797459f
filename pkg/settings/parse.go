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

// minPeerTokenLength keeps peer tokens out of reach of guessing.
const minPeerTokenLength = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// reader collects the problems of one file.
type reader struct {
	file     string
	problems []Problem
}

func (r *reader) report(line int, key, expected, format string, args ...any) {
	r.problems = append(r.problems, Problem{
		File:     r.file,
		Line:     line,
		Key:      key,
		Message:  fmt.Sprintf(format, args...),
		Expected: expected,
	})
}

// field describes one key of a mapping.
type field struct {
	key      string
	required bool
	expected string
	// set stores the value and returns false when it is not as expected.
	set func(value string) bool
	// nested describes a mapping value instead of a plain one.
	nested func() []field
}

// Parse checks the settings in data. The file name is used in problems only.
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
	r := &reader{file: file}
	doc, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.report(lineOf(err), "-", "YAML", "%s", firstLine(err))
		return s, r.problems
	}
	root := mapping(doc)
	if root == nil {
		r.report(1, "-", "a mapping of settings", "the file holds no mapping")
		return s, r.problems
	}
	r.read(root.Values, 1, "", fields(&s))
	s.PeerAdvertiseAddress = cmp.Or(s.PeerAdvertiseAddress, s.PeerAddress)
	return s, r.problems
}

func mapping(doc *ast.File) *ast.MappingNode {
	if len(doc.Docs) == 0 {
		return nil
	}
	node, _ := doc.Docs[0].Body.(*ast.MappingNode)
	return node
}

// read matches the entries of one mapping against its fields.
func (r *reader) read(entries []*ast.MappingValueNode, line int, prefix string, want []field) {
	seen := map[string]bool{}
	for _, entry := range entries {
		key := entry.Key.String()
		at := entry.Key.GetToken().Position.Line
		i := slices.IndexFunc(want, func(f field) bool { return f.key == key })
		if i < 0 {
			r.report(at, prefix+key, "one of "+keys(want), "unknown key")
			continue
		}
		if seen[key] {
			r.report(at, prefix+key, "the key once", "duplicate key")
			continue
		}
		seen[key] = true
		r.readValue(entry, at, prefix, want[i])
	}
	for _, f := range want {
		if f.required && !seen[f.key] {
			r.report(line, prefix+f.key, f.expected, "missing key")
		}
	}
}

func (r *reader) readValue(entry *ast.MappingValueNode, line int, prefix string, f field) {
	if f.nested != nil {
		node, ok := entry.Value.(*ast.MappingNode)
		if !ok {
			r.report(line, prefix+f.key, f.expected, "not a mapping")
			return
		}
		r.read(node.Values, line, prefix+f.key+".", f.nested())
		return
	}
	scalar, ok := entry.Value.(ast.ScalarNode)
	if !ok {
		r.report(line, prefix+f.key, f.expected, "not a single value")
		return
	}
	value := fmt.Sprint(scalar.GetValue())
	if !f.set(value) {
		r.report(line, prefix+f.key, f.expected, "bad value %q", value)
	}
}

func keys(want []field) string {
	names := make([]string, 0, len(want))
	for _, f := range want {
		names = append(names, f.key)
	}
	return strings.Join(names, ", ")
}

// fields lists the keys of the settings file.
func fields(s *Settings) []field {
	return []field{
		nameField("vm", &s.VM),
		nameField("data_centre", &s.DataCentre),
		addressField("caller_address", &s.CallerAddress),
		addressField("peer_address", &s.PeerAddress),
		optional(addressField("peer_advertise_address", &s.PeerAdvertiseAddress)),
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

func nameField(key string, to *string) field {
	return field{key: key, required: true, expected: "a name of 1 to 63 characters of a-z, 0-9 and -", set: func(v string) bool {
		*to = v
		return namePattern.MatchString(v)
	}}
}

func addressField(key string, to *string) field {
	return field{key: key, required: true, expected: "IP:port", set: func(v string) bool {
		*to = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	}}
}

func optional(f field) field {
	f.required = false
	return f
}

func tokenField(key string, to *string) field {
	expected := fmt.Sprintf("a secret of at least %d characters", minPeerTokenLength)
	return field{key: key, required: true, expected: expected, set: func(v string) bool {
		*to = v
		return len(v) >= minPeerTokenLength
	}}
}

func choiceField(key string, to *string, choices ...string) field {
	return field{key: key, expected: "one of " + strings.Join(choices, ", "), set: func(v string) bool {
		*to = v
		return slices.Contains(choices, v)
	}}
}

func countField(key string, to *int, least, most int) field {
	expected := fmt.Sprintf("a number from %d to %d", least, most)
	return field{key: key, expected: expected, set: func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n >= least && n <= most
	}}
}

func millisField(key string, to *time.Duration) field {
	const most = 600_000
	expected := fmt.Sprintf("milliseconds from 0 to %d", most)
	return field{key: key, expected: expected, set: func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = time.Duration(n) * time.Millisecond
		return err == nil && n >= 0 && n <= most
	}}
}

func fileField(key string, to *string) field {
	return field{key: key, required: true, expected: "a file name", set: func(v string) bool {
		*to = v
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

var lineInError = regexp.MustCompile(`\[(\d+):\d+\]`)

func lineOf(err error) int {
	match := lineInError.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	n, _ := strconv.Atoi(match[1])
	return n
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
