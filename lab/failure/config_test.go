package failure

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/logservice"
	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/config"
)

func (d *deployment) status(v *deploy.VM) caller.Status {
	resp, err := http.Get("http://" + v.Caller + "/statusz")
	if err != nil {
		return caller.Status{ConfigNext: -1}
	}
	defer func() { _ = resp.Body.Close() }()
	var s caller.Status
	data, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(data, &s) != nil {
		return caller.Status{ConfigNext: -1}
	}
	return s
}

func withdrawKey(id, key string) config.ReleaseNote {
	return config.ReleaseNote{ID: id, Withdrawn: []config.Ref{{Kind: config.KindKey, Name: auth.Digest(key)}}}
}

// A withdrawn key must stop streams that run under it on every VM, and be refused afterwards; other keys go on.
func TestWithdrawnKeyEndsConnectedCallers(t *testing.T) {
	d := start(t, shape{vms: 3, engines: 2})
	results := d.streams(6, keySmall, "withdrawn", 16000, d.VMs, func() {
		d.publish(withdrawKey("withdraw", keySmall))
	})
	for _, r := range results {
		if r.end != "error" || !strings.Contains(r.body, `"key_withdrawn"`) {
			t.Errorf("stream of a withdrawn key: %v", r)
		}
	}
	for _, v := range d.VMs {
		if r := d.chat(v, keySmall, "withdrawn", 2); r.code != "invalid_key" || !r.notRun() {
			t.Errorf("withdrawn key at %s: %v", v.Name, r)
		}
		d.wantWhole(d.chat(v, keyLarge, "other", 2), "other", 2)
	}
}

// Two notes that change the same item against the same base must not both be accepted, whoever reads them.
func TestRacingNotes(t *testing.T) {
	d := start(t, shape{vms: 3, services: 1})
	base := d.status(d.VMs[0]).ConfigNext - 1
	for i := range 6 {
		note := config.ReleaseNote{ID: fmt.Sprintf("race-%d", i), Base: base, Changed: config.Items{
			Workspaces: []config.Workspace{{Name: "small", TokensPerSecond: int64(1000 + i), BurstTokens: 5000}},
		}}
		record := json.RawMessage(config.NewNoteRecord(note))
		// Each note lands twice, as after a lost reply.
		d.log.Append("config", record, record)
	}
	end := base + 1 + 12
	d.await("all VMs have applied the notes", func() bool {
		for _, v := range d.VMs {
			if d.status(v).ConfigNext != end {
				return false
			}
		}
		return true
	})
	digest := d.status(d.VMs[0]).ConfigDigest
	for _, v := range d.VMs {
		if got := d.status(v).ConfigDigest; got != digest {
			t.Errorf("%s holds digest %s, want %s", v.Name, got, digest)
		}
	}
	replay := config.NewReplay()
	accepted := 0
	for _, record := range d.log.Records("config") {
		verdict, err := replay.Apply(record.Offset, record.Data)
		d.check(err)
		if verdict.Accepted && verdict.ID != "first" && verdict.Offset == record.Offset {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("%d of the racing notes were accepted, want 1", accepted)
	}
	if replay.State().Digest() != digest {
		t.Error("the VMs differ from a replay of the log")
	}
}

// publish must find its verdict by reading, since the reply of the append may be lost.
func TestPublishWithLostReplies(t *testing.T) {
	d := start(t, shape{vms: 2, services: 1})
	d.log.SetFaults(logservice.Faults{LoseReply: true, Streams: "config"})
	d.publish(withdrawKey("lost-reply", keyLarge))
	for _, v := range d.VMs {
		resp, err := d.do(v, http.MethodGet, "/bookings/1", keyLarge, "", "")
		if r := newResult(resp, err); r.status != http.StatusUnauthorized {
			t.Errorf("the withdrawn key is not refused at %s: %v", v.Name, r)
		}
	}
}

// A restarted VM must serve while the log is down, with the newest configuration and not an older one.
func TestRestartedVMServesWhileLogIsDown(t *testing.T) {
	d := start(t, shape{vms: 3, engines: 1})
	d.publish(withdrawKey("before-outage", keyLarge))
	next := d.status(d.VMs[0]).ConfigNext
	d.log.SetFaults(logservice.Faults{Down: true})
	v := d.VMs[1]
	v.Kill()
	d.check(d.Restart(v))
	// Its limit slots stay idle until the log is back; tokens come from the other VMs.
	d.await("the restarted VM serves", func() bool { return d.chat(v, keySmall, "outage", 3).end == "done" })
	if got := d.status(v).ConfigNext; got < next {
		t.Errorf("the restarted VM holds offset %d, want at least %d", got, next)
	}
	if r := d.chat(v, keyLarge, "outage", 3); r.code != "invalid_key" {
		t.Errorf("a key withdrawn before the outage: %v", r)
	}
}

// Guards against an outage of the log in which a short stall of the VMs that hold the limit slots stops all of them from
// serving until the log is back: their leases lapse and nothing renews them. See KNOWN-RED.txt.
func TestStallInLogOutageStopsNobody(t *testing.T) {
	// leaseStall is longer than a lease lasts without evidence (3 s).
	const leaseStall = 5 * time.Second
	d := start(t, shape{vms: 3, engines: 1})
	d.log.SetFaults(logservice.Faults{Down: true})
	for _, v := range d.VMs {
		d.check(v.Pause())
	}
	time.Sleep(leaseStall)
	for _, v := range d.VMs {
		d.check(v.Resume())
	}
	d.await("a VM serves", func() bool { return d.chat(d.VMs[0], keySmall, "stall", 3).end == "done" })
}

// All VMs restart at once: they must take the configuration from the log again and serve.
func TestHerdRestart(t *testing.T) {
	d := start(t, shape{vms: 3, engines: 1, services: 1})
	d.publish(withdrawKey("before-herd", keyLarge))
	for _, v := range d.VMs {
		v.Kill()
	}
	for _, v := range d.VMs {
		d.check(d.Restart(v))
	}
	d.awaitServing()
	for _, v := range d.VMs {
		if r := d.chat(v, keyLarge, "herd", 3); r.code != "invalid_key" {
			t.Errorf("a key withdrawn before the restart: %v", r)
		}
	}
}

// A VM that starts after the oldest records have expired must start from a snapshot.
func TestStartAfterRecordsExpired(t *testing.T) {
	const seconds = 8
	d := start(t, shape{vms: 2, services: 1, log: logservice.Options{Retention: seconds * 1e9}, note: func(n *config.ReleaseNote) {
		n.Added.Defaults = &config.Defaults{RetentionSeconds: seconds}
	}})
	d.await("the first note has expired", func() bool {
		records := d.log.Records("config")
		return len(records) > 0 && records[0].Offset > 0
	})
	for _, v := range d.VMs {
		v.Kill()
	}
	// Nobody is left to ask: the state can only come from the log.
	d.check(d.Restart(d.VMs[0]))
	d.await("the VM serves from a snapshot", func() bool {
		return d.call(d.VMs[0], http.MethodGet, "/bookings/1", "", "").status == http.StatusOK
	})
}

// A VM cut off from the log, the VM list and its peers must refuse as not run and end its streams, because it can miss
// a withdrawal. The others go on, and so does the VM once it is connected again.
func TestIsolatedVMStopsServing(t *testing.T) {
	d := start(t, shape{vms: 3, engines: 1, linked: true})
	v := d.VMs[0]
	results := d.streams(1, keySmall, "isolated", 16000, []*deploy.VM{v}, func() {
		d.cutPlatform(v, true)
		for _, l := range d.links {
			l.peer.Cut(true)
		}
	})
	if results[0].end != "error" || !strings.Contains(results[0].body, `"cut_off"`) {
		t.Errorf("the stream of an isolated VM: %v", results[0])
	}
	if refused := d.chat(v, keySmall, "isolated", 2); refused.code != "cut_off" || !refused.notRun() {
		t.Errorf("want a refusal as not run: %v", refused)
	}
	d.wantWhole(d.chat(d.VMs[1], keySmall, "connected", 2), "connected", 2)
	d.cutPlatform(v, false)
	for _, l := range d.links {
		l.peer.Cut(false)
	}
	d.await("the VM serves again", func() bool { return d.chat(v, keySmall, "back", 2).end == "done" })
}

// A VM that lost only the log must learn of a withdrawal from its peers.
func TestVMWithoutLogLearnsWithdrawalFromPeers(t *testing.T) {
	d := start(t, shape{vms: 3, engines: 1, linked: true})
	v := d.VMs[0]
	d.links[v.Name].log.Cut(true)
	d.publish(withdrawKey("without-log", keyLarge))
	if r := d.chat(v, keyLarge, "withdrawn", 2); r.code != "invalid_key" {
		t.Errorf("a withdrawn key at the VM without log: %v", r)
	}
	d.wantWhole(d.chat(v, keySmall, "serves", 2), "serves", 2)
}

// An outage of the log that all VMs see must stop none of them.
func TestOutageStopsNoVM(t *testing.T) {
	d := start(t, shape{vms: 3, engines: 1})
	d.log.SetFaults(logservice.Faults{Freeze: true})
	d.await("all VMs see the outage", func() bool {
		for _, v := range d.VMs {
			if d.status(v).Contact != "outage" {
				return false
			}
		}
		return true
	})
	for range 10 {
		for _, v := range d.VMs {
			d.wantWhole(d.chat(v, keySmall, "outage", 3), "outage", 3)
		}
	}
}
