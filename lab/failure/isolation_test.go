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
	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// pastLongPoll is longer than one long poll of the log, so that a paused VM has no answer waiting that holds the next
	// record.
	pastLongPoll = 1500 * time.Millisecond
	// pastContact is longer than the contact window.
	pastContact = 3500 * time.Millisecond
)

// Equal prompts of two workspaces must never share cached blocks; requests of one workspace must.
func TestEqualPromptsOfWorkspacesShareNoBlocks(t *testing.T) {
	const blocks = 12
	d := start(t, shape{vms: 2, engines: 1})
	prompt := strings.Repeat("house rule ", blocks*blockSize/len("house rule ")+1)
	want := func(after string, salts ...int64) {
		t.Helper()
		computed := d.engines[0].Stats().ComputedBySalt
		if len(computed) != len(salts) {
			t.Errorf("after %s: %d salts computed blocks, want %d", after, len(computed), len(salts))
		}
		for salt, n := range computed {
			if n != blocks {
				t.Errorf("after %s: %d blocks computed under salt %s, want %d", after, n, salt, blocks)
			}
		}
	}
	d.wantWhole(d.chat(d.VMs[0], keySmall, prompt, 3), prompt, 3)
	want("the first workspace", blocks)
	d.wantWhole(d.chat(d.VMs[1], keyLarge, prompt, 3), prompt, 3)
	want("the second workspace", blocks, blocks)
	d.wantWhole(d.chat(d.VMs[1], keySmall, prompt, 3), prompt, 3)
	d.wantWhole(d.chat(d.VMs[0], keyLarge, prompt, 3), prompt, 3)
	want("repeats of both", blocks, blocks)
	if hits := d.engines[0].Stats().BlocksHit; hits != 2*blocks {
		t.Errorf("%d blocks were found in the cache, want %d", hits, 2*blocks)
	}
}

// A stream that runs across a version switch must not continue on other weights, even when its engine crashes after the
// switch. It ends whole, or with an error event after a beginning of the answer of its own version.
func TestStreamNeverChangesVersion(t *testing.T) {
	const tokens = 6000
	d := start(t, shape{vms: 2, engines: 3})
	r := d.chatEach(d.VMs[0], keySmall, "across", tokens, func(n int) {
		if n != 5 {
			return
		}
		running := d.busiest()
		d.publish(switchVersion("v2"))
		d.await("new requests get the new weights", func() bool {
			for _, v := range d.VMs {
				if d.chat(v, keyLarge, "new", 5).text != wholeText("new", "v2", 5) {
					return false
				}
			}
			return true
		})
		if running.ExactState().Running == 0 {
			t.Error("the stream ended before the switch, so the test shows nothing")
		}
		running.Crash()
	})
	whole := wholeText("across", "v1", tokens)
	switch {
	case r.end == "done" && r.text == whole:
	case r.end == "error" && strings.Contains(r.body, `"run_state":"run"`) && strings.HasPrefix(whole, r.text):
	default:
		t.Errorf("stream across the switch: %v, %d bytes of text, a beginning of the old version's answer: %v",
			r, len(r.text), strings.HasPrefix(whole, r.text))
	}
}

// A VM that is paused while a key is withdrawn must not serve that key after it resumes: neither requests that reached
// it during the pause nor a stream that was running.
func TestPausedVMRefusesKeyWithdrawnMeanwhile(t *testing.T) {
	const waiting = 20
	d := start(t, shape{vms: 3, engines: 1, services: 1})
	v := d.VMs[0]
	released := make(chan struct{})
	results := make(chan result, waiting)
	stream := d.chatEach(v, keyLarge, "paused", 16000, func(n int) {
		if n != 3 {
			return
		}
		next := d.status(d.VMs[1]).ConfigNext
		d.check(v.Pause())
		time.Sleep(pastLongPoll)
		note := withdrawKey("while-paused", keyLarge)
		note.Base = next - 1
		d.log.Append("config", json.RawMessage(config.NewNoteRecord(note)))
		d.await("the other VMs have applied the note", func() bool {
			return d.status(d.VMs[1]).ConfigNext > next && d.status(d.VMs[2]).ConfigNext > next
		})
		time.Sleep(pastContact)
		for i := range waiting {
			go func() {
				resp, err := d.do(v, http.MethodGet, fmt.Sprintf("/bookings/paused-%d", i), keyLarge, "", "")
				r := newResult(resp, err)
				if err == nil {
					r = r.read(resp)
					_ = resp.Body.Close()
				}
				results <- r
			}()
		}
		// The connections wait in the listener's queue until the VM runs again.
		time.Sleep(500 * time.Millisecond)
		d.check(v.Resume())
		close(released)
	})
	<-released
	for range waiting {
		if r := <-results; r.status != http.StatusUnauthorized && r.code != "cut_off" || !r.notRun() {
			t.Errorf("request under a key withdrawn during the pause: %v", r)
		}
	}
	if stream.end != "error" {
		t.Errorf("stream under a key withdrawn during the pause: %v", stream)
	}
	d.await("the VM serves other keys again", func() bool { return d.chat(v, keySmall, "back", 2).end == "done" })
	if r := d.chat(v, keyLarge, "after", 2); r.code != "invalid_key" || !r.notRun() {
		t.Errorf("withdrawn key after the VM is back: %v", r)
	}
}

// Operators race to withdraw a key and to give it to another workspace. One of the notes wins on every VM, and the
// key is good for exactly what that note says.
func TestRacingWithdrawals(t *testing.T) {
	d := start(t, shape{vms: 3, services: 1})
	digest := auth.Digest(keyLarge)
	withdraw := func(id string, base int64) config.ReleaseNote {
		note := withdrawKey(id, keyLarge)
		note.Base = base
		return note
	}
	move := func(id string, base int64) config.ReleaseNote {
		return config.ReleaseNote{ID: id, Base: base, Changed: config.Items{Keys: []config.Key{{Digest: digest, Workspace: "small"}}}}
	}
	base := d.status(d.VMs[0]).ConfigNext - 1
	notes := []config.ReleaseNote{
		withdraw("withdraw-1", base), move("move-1", base), withdraw("withdraw-2", base), move("move-2", base),
	}
	many(len(notes), func(i int) {
		record := json.RawMessage(config.NewNoteRecord(notes[i]))
		d.log.Append("config", record, record)
	})
	end := base + 1 + int64(2*len(notes))
	d.await("all VMs have applied the notes", func() bool {
		for _, v := range d.VMs {
			if d.status(v).ConfigNext != end {
				return false
			}
		}
		return true
	})
	replay := config.NewReplay()
	var accepted []string
	for _, record := range d.log.Records("config") {
		verdict, err := replay.Apply(record.Offset, record.Data)
		d.check(err)
		if verdict.Accepted && verdict.Offset == record.Offset && verdict.ID != "first" {
			accepted = append(accepted, verdict.ID)
		}
	}
	if len(accepted) != 1 {
		t.Fatalf("accepted notes: %v, want one", accepted)
	}
	want := http.StatusUnauthorized
	if strings.HasPrefix(accepted[0], "move") {
		want = http.StatusOK
	}
	for _, v := range d.VMs {
		if got := d.lookup(v, keyLarge); got.status != want {
			t.Errorf("after note %s at %s: %v", accepted[0], v.Name, got)
		}
	}
}

// lookup calls the plain service under a key.
func (d *deployment) lookup(v *deploy.VM, key string) result {
	resp, err := d.do(v, http.MethodGet, "/bookings/1", key, "", "")
	r := newResult(resp, err)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	return r.read(resp)
}

// The workspace must come from the key alone: neither the caller's text nor a missing key may choose it.
func TestWorkspaceComesFromKeyOnly(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 1, services: 1, note: func(n *config.ReleaseNote) {
		n.Added.Routes = append(n.Added.Routes, config.Route{
			Name: "open", Kind: config.RouteService, Prefix: "/open", Service: "bookings", Open: true, Workspace: "small",
		})
	}})
	v := d.VMs[0]
	other := fmt.Sprint(route.HashSeed("large", "small", "", "v1"))
	prompt := strings.Repeat("forged salt ", 200)
	body := fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":2,"workspace":"large","cache_salt":%q,"version":"v0",`+
		`"messages":[{"role":"user","content":%q}]}`, other, prompt)
	resp, err := d.do(v, http.MethodPost, "/v1/chat/completions", keySmall, "", body)
	d.check(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	salts := d.engines[0].Stats().ComputedBySalt
	if salts[other] > 0 || salts[fmt.Sprint(route.HashSeed("small", "small", "", "v1"))] == 0 {
		t.Errorf("blocks computed by salt: %v", salts)
	}
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/bookings/1", "", http.StatusUnauthorized},
		{"/bookings/1", "key-of-nobody", http.StatusUnauthorized},
		{"/open/1", "", http.StatusOK},
		{"/open/1", "key-of-nobody", http.StatusOK},
	} {
		resp, err := d.do(v, http.MethodGet, c.path, c.key, "", "")
		if r := newResult(resp, err); r.status != c.status {
			t.Errorf("%s with key %q: %v, want status %d", c.path, c.key, r, c.status)
		}
	}
}
