package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/lab/cachestore"
	"github.com/corneldeal/corneldeal/lab/weightstore"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// awaitTimeout is far above the time that any awaited condition needs.
const awaitTimeout = 30 * time.Second

// startEngine starts an engine, with version 1 of model m unless the options list models.
func startEngine(t *testing.T, opt Options) *Engine {
	t.Helper()
	if opt.Models == nil {
		opt.Models = []LoadedModel{{Model: "m", Version: "1"}}
	}
	e := New(opt)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

func userMessage(text string) []route.Message {
	return []route.Message{{Role: "user", Content: text}}
}

func post(t *testing.T, e *Engine, path string, v any) (int, []byte) {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+e.Addr()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, data
}

// streamChat sends a streaming request and returns its chunks and whether it ended with [DONE].
func streamChat(t *testing.T, e *Engine, req ChatRequest) (chunks []Chunk, done bool) {
	t.Helper()
	req.Stream = true
	_, data := post(t, e, "/v1/chat/completions", req)
	for line := range strings.Lines(string(data)) {
		text, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if text == "[DONE]" {
			return chunks, true
		}
		var c Chunk
		if err := json.Unmarshal([]byte(text), &c); err != nil {
			t.Fatal(err)
		}
		chunks = append(chunks, c)
	}
	return chunks, false
}

// Guards against a resumed answer that repeats or omits a token, which would corrupt the client's text.
func TestResumedStreamContinuesAtTheToken(t *testing.T) {
	e := startEngine(t, Options{})
	chunks, done := streamChat(t, e, ChatRequest{Model: "m", Messages: userMessage("hello"), MaxTokens: 6, ResumeFrom: 4})
	var text strings.Builder
	for i, c := range chunks {
		if *c.TokenIndex != 4+i {
			t.Fatalf("chunk %d has token index %d", i, *c.TokenIndex)
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	if want := Text(userMessage("hello"), "1", 4, 6); text.String() != want || !done {
		t.Fatalf("got %q, done %v; want %q", text.String(), done, want)
	}
}

// Guards against an answer with other weights than requested, which would break version switches.
func TestVersionThatIsNotLoadedIsRefused(t *testing.T) {
	e := startEngine(t, Options{})
	status, body := post(t, e, "/v1/chat/completions", ChatRequest{Model: "m", Version: "2", Messages: userMessage("x")})
	if status != http.StatusConflict || !bytes.Contains(body, []byte("version_not_loaded")) {
		t.Fatalf("got %d %s", status, body)
	}
}

// Guards against unreported cache hits and hits across salts, which would falsify every cache measurement.
func TestPrefixIsFoundUnderItsSaltOnly(t *testing.T) {
	e := startEngine(t, Options{BlockBytes: 100, MissCost: time.Microsecond})
	cached := func(salt uint64) int {
		req := ChatRequest{Model: "m", Messages: userMessage(strings.Repeat("a", 450)), MaxTokens: 1}
		req.CacheSalt = strconv.FormatUint(salt, 10)
		chunks, _ := streamChat(t, e, req)
		return chunks[len(chunks)-1].Usage.PromptTokensDetails.CachedTokens
	}
	const top = ^uint64(0)
	got := []int{cached(top), cached(top), cached(7)}
	if !slices.Equal(got, []int{0, 100, 0}) {
		t.Fatalf("cached tokens %v", got)
	}
	if s := e.Stats(); s.ComputedBySalt["7"] != 4 || s.BlocksHit != 4 || s.BlocksComputed != 8 {
		t.Fatalf("stats %+v", s)
	}
}

// Guards against a crash that keeps streams, blocks or the incarnation and so hides faults that the router must
// survive.
func TestCrashCutsStreamsAndComesBackEmpty(t *testing.T) {
	e := startEngine(t, Options{BlockBytes: 10, MissCost: time.Microsecond})
	before := e.ExactState().Incarnation
	ended := make(chan bool, 1)
	go func() {
		data, _ := tryStream(e, ChatRequest{Model: "m", Messages: userMessage(strings.Repeat("a", 99)), MaxTokens: 10000})
		ended <- strings.Contains(data, "[DONE]")
	}()
	await(t, "blocks cached", func() bool { return e.ExactState().CachedBlocks > 0 })
	e.SetFaults(Faults{Crash: true, DownMs: 1})
	if <-ended {
		t.Fatal("the stream ended as if it were complete")
	}
	await(t, "engine up", e.Up)
	s := e.ExactState()
	if s.Incarnation == before || s.CachedBlocks != 0 || s.Running != 0 {
		t.Fatalf("state after the crash %+v", s)
	}
}

// tryStream returns the part of a streamed response that arrives; a broken connection does not fail the test.
func tryStream(e *Engine, req ChatRequest) (string, error) {
	req.Stream = true
	body, _ := json.Marshal(req)
	resp, err := http.Post("http://"+e.Addr()+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// A poisoned prompt must crash the engine each time it runs; other prompts must not.
func TestPoisonCrashesTheEngine(t *testing.T) {
	e := startEngine(t, Options{})
	e.SetFaults(Faults{Poison: "POISON", DownMs: 1})
	if _, done := streamChat(t, e, ChatRequest{Model: "m", Messages: userMessage("fine"), MaxTokens: 1}); !done {
		t.Fatal("a clean prompt did not finish")
	}
	for want := int64(1); want <= 2; want++ {
		await(t, "engine up", e.Up)
		_, _ = tryStream(e, ChatRequest{Model: "m", Messages: userMessage("a POISON b"), MaxTokens: 1})
		if got := e.Stats().Crashes; got < want {
			t.Fatalf("%d crashes, want %d", got, want)
		}
	}
}

// Guards against a request whose client has disconnected but which keeps its batch slot and delays others.
func TestDisconnectFreesThePlace(t *testing.T) {
	e := startEngine(t, Options{MaxRunning: 1})
	c, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	body, _ := json.Marshal(ChatRequest{Model: "m", Messages: userMessage("x"), MaxTokens: 10000, Stream: true})
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	await(t, "request cancelled", func() bool { return e.Stats().Cancelled == 1 && e.ExactState().Running == 0 })
}

// Guards against an engine that loses its fencing number and so obeys an issuer whose lease has expired.
func TestOldFenceIsRefusedWhereChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := startEngine(t, Options{ChecksFencing: checks})
		status, _ := post(t, e, "/v1/orders", Order{Fence: 5, Kind: OrderRole, Role: "prefill"})
		if status != http.StatusOK {
			t.Fatalf("first order: %d", status)
		}
		status, _ = post(t, e, "/v1/orders", Order{Fence: 4, Kind: OrderRole, Role: "serve"})
		if refused := status == http.StatusConflict; refused != checks {
			t.Fatalf("checks fencing %v, but the old order got %d", checks, status)
		}
	}
}

// Guards against a load that never appears in the state and an unload that leaves blocks; both break version switches.
func TestLoadAndUnloadChangeTheState(t *testing.T) {
	e := startEngine(t, Options{LoadTime: time.Millisecond, BlockBytes: 10, MissCost: time.Microsecond})
	if _, done := streamChat(t, e, ChatRequest{Model: "m", Messages: userMessage("more than ten bytes"), MaxTokens: 1}); !done {
		t.Fatal("not finished")
	}
	for _, o := range []Order{
		{Kind: OrderLoad, Model: "m", Version: "2"},
		{Kind: OrderUnload, Model: "m", Version: "1"},
	} {
		if err := e.ApplyOrder(o); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "version 2 only", func() bool {
		s := e.State()
		return len(s.Versions) == 1 && s.Versions[0].Version == "2" && s.Versions[0].State == Ready && s.CachedBlocks == 0
	})
}

// Guards against a lost event without a gap in the sequence numbers, which no reader could detect.
func TestLostEventLeavesAGap(t *testing.T) {
	l := newEventLog(1)
	now := time.Now()
	l.add(EventStored, []uint64{1}, 0, now)
	l.add(EventStored, []uint64{2}, 1, now)
	l.add(EventStored, []uint64{3}, 0, now)
	reply, _, _ := l.read(0, 10, 0, now)
	if len(reply.Events) != 2 || reply.Events[0].Seq != 1 || reply.Events[1].Seq != 3 || reply.Last != 3 {
		t.Fatalf("got %+v", reply)
	}
	late, untilReadable, _ := l.read(0, 10, time.Second, now)
	if len(late.Events) != 0 || untilReadable != time.Second {
		t.Fatalf("delayed events are readable: %+v", late)
	}
}

// Guards against a cache that, unlike real engines, evicts referenced blocks or the beginning of a prefix before its
// end.
func TestEvictionTakesTheEndOfIdlePrefixes(t *testing.T) {
	c := newPrefixCache(3)
	var held []*block
	for h := uint64(1); h <= 3; h++ {
		b, _, _ := c.store(h, LoadedModel{})
		held = append(held, b)
	}
	if b, _, _ := c.store(4, LoadedModel{}); b != nil {
		t.Fatal("a block in use was evicted")
	}
	c.release(held)
	_, evicted, _ := c.store(4, LoadedModel{})
	if !slices.Equal(evicted, []uint64{3}) || c.match([]uint64{1, 2, 3}) != 2 {
		t.Fatalf("evicted %v", evicted)
	}
}

// Guards against steps that do not charge missing blocks as the cost model defines; measured policies would all look
// equal.
func TestStepCostFollowsTheModel(t *testing.T) {
	e := New(Options{BlockBytes: 100, Models: []LoadedModel{{Model: "m", Version: "1"}}})
	req := &ChatRequest{Model: "m", Messages: userMessage(strings.Repeat("a", 250)), MaxTokens: 1}
	duration := func() (sum time.Duration) {
		if _, _, err := e.submit(req); err != nil {
			t.Fatal(err)
		}
		for {
			s, busy := e.planStep()
			if !busy {
				return sum
			}
			sum += s.duration
			e.commitStep(s)
		}
	}
	rest := len(route.EncodePrompt(req.Messages)) - 200
	tail := DefaultMissCost * time.Duration(rest) / 100
	cold := 2*DefaultMissCost + tail + 3*DefaultRunningCost + DefaultLookupCost
	warm := max(tail, DefaultStepCost) + DefaultRunningCost + 2*DefaultLookupCost
	if got := duration(); got != cold {
		t.Fatalf("cold prompt took %v, want %v", got, cold)
	}
	if got := duration(); got != warm {
		t.Fatalf("cached prompt took %v, want %v", got, warm)
	}
}

// Guards against a waiting queue that ignores priorities, in which a large workspace delays urgent requests.
func TestWaitingQueueServesPriorityFirst(t *testing.T) {
	e := New(Options{MaxRunning: 1, Models: []LoadedModel{{Model: "m", Version: "1"}}})
	for _, p := range []int{0, 1, 1} {
		if _, _, err := e.submit(&ChatRequest{Model: "m", Messages: userMessage("x"), MaxTokens: 1, Priority: p}); err != nil {
			t.Fatal(err)
		}
	}
	var served []uint64
	for range 3 {
		s, _ := e.planStep()
		served = append(served, e.running[0].arrival)
		e.commitStep(s)
	}
	if !slices.Equal(served, []uint64{2, 3, 1}) {
		t.Fatalf("served %v", served)
	}
}

// Recomputation must count as wasted only while another engine caches the block.
func TestLedgerCountsWasteOfOtherHolders(t *testing.T) {
	l := NewLedger()
	none := func(uint64) bool { return false }
	l.addHolders([]uint64{1}, 1)
	l.recordLookup(5, 0, []uint64{1, 2}, none)
	l.recordLookup(5, 0, []uint64{1}, func(uint64) bool { return true })
	l.addHolders([]uint64{1}, -1)
	l.recordLookup(5, 3, []uint64{1}, none)
	if got := l.Totals(); got != (LedgerTotals{Computed: 4, Wasted: 1, Hit: 3, PromptTokens: 15}) {
		t.Fatalf("got %+v", got)
	}
}

// Blocks of another seed must not enter the cache, and the importing engine must find exported blocks.
func TestImportTakesBlocksOfTheSeedOnly(t *testing.T) {
	store := cachestore.New(cachestore.Options{})
	if err := store.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	opt := Options{BlockBytes: 10, MissCost: time.Microsecond, ImportCost: time.Microsecond}
	a, b := startEngine(t, opt), startEngine(t, opt)
	req := ChatRequest{Model: "m", Messages: userMessage("more than ten bytes"), MaxTokens: 1, CacheSalt: "9"}
	streamChat(t, a, req)
	hashes := route.BlockHashes(9, route.EncodePrompt(req.Messages), 10)
	move := TransferRequest{CacheSalt: "9", Hashes: hashes, Store: store.Addr()}
	if status, body := post(t, a, "/v1/cache/export", move); status != http.StatusOK {
		t.Fatalf("export: %d %s", status, body)
	}
	store.SetFaults(cachestore.Faults{WrongSeed: true})
	if status, _ := post(t, b, "/v1/cache/import", move); status != http.StatusBadGateway || b.Match(hashes) != 0 {
		t.Fatalf("import under a wrong seed: %d, %d blocks", status, b.Match(hashes))
	}
	store.SetFaults(cachestore.Faults{})
	if status, _ := post(t, b, "/v1/cache/import", move); status != http.StatusOK || b.Match(hashes) != len(hashes) {
		t.Fatalf("import: %d, %d blocks", status, b.Match(hashes))
	}
}

// Guards against loads that bypass the weight store, which would hide the cost of loading on all engines at once. A
// load that the store refuses must not make the version usable.
func TestLoadGoesThroughTheWeightStore(t *testing.T) {
	store := weightstore.New(weightstore.Options{LoadTime: time.Millisecond})
	if err := store.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	e := startEngine(t, Options{WeightStore: store.Addr(), LoadTime: time.Hour})
	versions := func() []VersionState { return e.ExactState().Versions }
	store.SetFaults(weightstore.Faults{Down: true})
	if err := e.ApplyOrder(Order{Kind: OrderLoad, Model: "m", Version: "2"}); err != nil {
		t.Fatal(err)
	}
	await(t, "the refused load ends", func() bool { return len(versions()) == 1 })
	store.SetFaults(weightstore.Faults{})
	if err := e.ApplyOrder(Order{Kind: OrderLoad, Model: "m", Version: "2"}); err != nil {
		t.Fatal(err)
	}
	await(t, "version 2 is ready", func() bool { return len(versions()) == 2 && versions()[1].State == Ready })
	if s := store.Stats(); s.Done != 1 {
		t.Fatalf("the store counts %+v", s)
	}
}
