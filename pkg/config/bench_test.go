package config

import (
	"fmt"
	"runtime"
	"testing"
)

// targetNote returns a note with the configuration of the target deployment: 360 workspaces with one key each, 7
// models and 2,400 endpoints.
func targetNote() ReleaseNote {
	return sizedNote(360, 2400)
}

// sizedNote returns a note with the given numbers of workspaces, with one key each, and endpoints, and with 7 models.
func sizedNote(workspaces, endpoints int) ReleaseNote {
	note := ReleaseNote{ID: "target", Base: -1}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		note.Added.Workspaces = append(note.Added.Workspaces, Workspace{Name: name, TokensPerSecond: 1000, BurstTokens: 9000})
		note.Added.Keys = append(note.Added.Keys, Key{Digest: fmt.Sprintf("%064x", i), Workspace: name})
	}
	for i := range 7 {
		name := fmt.Sprintf("model-%d", i)
		note.Added.Models = append(note.Added.Models, Model{Name: name, Version: "v1"})
		note.Added.Routes = append(note.Added.Routes, Route{Name: name, Kind: RouteChat, Model: name})
	}
	for i := range endpoints {
		note.Added.Endpoints = append(note.Added.Endpoints, Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Kind: EndpointEngine, DataCentre: fmt.Sprintf("dc-%d", i%20),
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Models: []string{fmt.Sprintf("model-%d", i%7)},
		})
	}
	return note
}

// targetReplay returns a replay that has applied targetNote.
func targetReplay(b *testing.B) *Replay {
	b.Helper()
	r := NewReplay()
	if v := mustApply(b, r, targetNote()); !v.Accepted {
		b.Fatal(v.Reason)
	}
	return r
}

// BenchmarkNoteApply measures applying a note that changes one item at the target size.
func BenchmarkNoteApply(b *testing.B) {
	note := targetNote()
	for _, c := range []struct {
		name   string
		change func(*ReleaseNote)
	}{
		{"workspace", func(n *ReleaseNote) { n.Changed.Workspaces = note.Added.Workspaces[:1] }},
		{"endpoint", func(n *ReleaseNote) { n.Changed.Endpoints = note.Added.Endpoints[:1] }},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := targetReplay(b)
			b.ReportAllocs()
			for i := int64(0); b.Loop(); i++ {
				change := ReleaseNote{ID: fmt.Sprint("n-", i), Base: r.State().Offset()}
				c.change(&change)
				if v := mustApply(b, r, change); !v.Accepted {
					b.Fatal(v.Reason)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures computing the digest of a state and writing and restoring its snapshot, and reports the
// size of the snapshot record.
func BenchmarkSnapshot(b *testing.B) {
	r := targetReplay(b)
	data := r.Snapshot()
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			bodyDigest(newSnapshotBody(r.State()))
		}
	})
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			r.Snapshot()
		}
		// Loop resets the metrics when it starts.
		b.ReportMetric(float64(len(data)), "record-bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := NewReplay().Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkStateMemory reports heap and snapshot size at several sizes. The differences give the cost per endpoint
// and per workspace with its key.
func BenchmarkStateMemory(b *testing.B) {
	for _, c := range []struct{ workspaces, endpoints int }{{36, 240}, {360, 240}, {36, 2400}, {360, 2400}} {
		b.Run(fmt.Sprintf("workspaces=%d/endpoints=%d", c.workspaces, c.endpoints), func(b *testing.B) {
			for b.Loop() {
				note := sizedNote(c.workspaces, c.endpoints)
				before := heapBytes()
				r := NewReplay()
				if v := mustApply(b, r, note); !v.Accepted {
					b.Fatal(v.Reason)
				}
				b.ReportMetric(float64(heapBytes()-before), "bytes")
				b.ReportMetric(float64(len(r.Snapshot())), "record-bytes")
				runtime.KeepAlive(r)
				runtime.KeepAlive(note)
			}
		})
	}
}

// BenchmarkHistoryMemory reports the heap at the target size after one note and after more notes than the replay
// keeps states of.
func BenchmarkHistoryMemory(b *testing.B) {
	note := targetNote()
	for _, notes := range []int{1, 100} {
		b.Run(fmt.Sprintf("notes=%d", notes), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				r := targetReplay(b)
				for i := range notes {
					change := ReleaseNote{ID: fmt.Sprint("n-", i), Base: r.State().Offset()}
					change.Changed.Endpoints = note.Added.Endpoints[i : i+1]
					if v := mustApply(b, r, change); !v.Accepted {
						b.Fatal(v.Reason)
					}
				}
				b.ReportMetric(float64(heapBytes()-before), "bytes")
				runtime.KeepAlive(r)
			}
		})
	}
}

// heapBytes returns the live heap after garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkLookup measures the lookups that one request makes.
func BenchmarkLookup(b *testing.B) {
	s := targetReplay(b).State()
	digest := fmt.Sprintf("%064x", 200)
	b.ReportAllocs()
	for b.Loop() {
		s.KeyWorkspace(digest)
		s.ChatRoute("model-3")
		s.ModelEndpoints("model-3")
	}
}
