package settings

import (
	"strings"
	"testing"
)

const good = `vm: vm-1
data_centre: dc-a
caller_address: 127.0.0.1:8001
peer_address: 127.0.0.1:9001
log_address: 127.0.0.1:7001
vm_list_address: 127.0.0.1:7002
peer_token: 0123456789abcdef
drain_delay_ms: 100
peer_tls:
  cert_file: a.pem
  key_file: b.pem
  ca_file: c.pem
`

func TestParseAcceptsCompleteFile(t *testing.T) {
	s, problems := Parse("s.yaml", []byte(good))
	if len(problems) > 0 {
		t.Fatalf("unexpected problems: %v", problems)
	}
	if s.PeerTLS == nil || s.PeerTLS.CAFile != "c.pem" || s.Workers != DefaultWorkers {
		t.Fatalf("settings not read: %+v", s)
	}
}

// Guards against a check that stops at the first problem, which would cost the operator one start per problem.
func TestParseReportsEveryProblemAtOnce(t *testing.T) {
	bad := strings.Replace(good, "vm: vm-1", "vm: VM_1\nspeed: 3", 1)
	bad = strings.Replace(bad, "127.0.0.1:9001", "localhost", 1)
	bad = strings.Replace(bad, "log_address: 127.0.0.1:7001\n", "", 1)
	_, problems := Parse("s.yaml", []byte(bad))
	var text []string
	for _, p := range problems {
		text = append(text, p.String())
	}
	all := strings.Join(text, "\n")
	for _, want := range []string{"s.yaml:1: vm:", "s.yaml:2: speed: unknown key", "s.yaml:5: peer_address:", "log_address: missing key"} {
		if !strings.Contains(all, want) {
			t.Errorf("no problem %q in:\n%s", want, all)
		}
	}
}

func TestParseReportsSyntaxErrorWithLine(t *testing.T) {
	_, problems := Parse("s.yaml", []byte("vm: a\n  b: [\n"))
	if len(problems) == 0 || problems[0].Line == 0 {
		t.Fatalf("syntax error not reported with its line: %v", problems)
	}
}
