//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/platform/standin"
)

func init() { cases["restore"] = restore }

// beginDraft sends a request for a stream and reads some events. Then the channel breaks.
func beginDraft(g *gateway, id, prompt, extra string, n, events int) (got string, status int, err error) {
	c, err := net.DialTimeout("tcp4", g.address(), time.Second)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(9 * time.Second))
	body := fmt.Sprint("prompt ", n)
	_, err = fmt.Fprintf(c, "POST /stream/draft/%d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nKey: key-1\r\n"+
		"Deadline-Milliseconds: 8000\r\nModel: m\r\nToken-Counts: 3500,40\r\nPrompt-Prefix: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		n, id, prompt, len(body), extra, body)
	if err != nil {
		return "", 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", 0, err
	}
	data := make([]byte, 0, 4096)
	for piece := make([]byte, 512); strings.Count(string(data), "\n\n") < events; {
		k, err := resp.Body.Read(piece)
		data = append(data, piece[:k]...)
		if err != nil {
			if err == io.EOF {
				err = nil
			}
			return string(data), resp.StatusCode, err
		}
	}
	return string(data), resp.StatusCode, nil
}

// restore has the store come back from a copy while two software versions serve, and requesters take streams up again.
func restore(r *record) (bool, error) {
	s, err := newSystem(r, largeConfig())
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.newFleet("llm")
	defer f.close()
	const events, pause = 40, 50 * time.Millisecond
	for i := range 12 {
		software := "v1"
		if i >= 9 {
			software = "v2"
		}
		if _, err := f.add(fmt.Sprint("i-", i+1), software, "127.0.0.1:0", events, pause); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	began := time.Now().Add(time.Second)
	var copied standin.Copy
	restoredAt := began.Add(8 * time.Second)
	if s.trouble {
		time.AfterFunc(time.Until(restoredAt.Add(-3*time.Second)), func() { r.event("a copy of the store is made"); copied = s.store.Copy() })
		time.AfterFunc(time.Until(restoredAt), func() {
			r.event("the store comes back from the copy")
			s.store.Restore(copied)
			f.mu.Lock()
			for _, e := range f.running {
				f.write(e)
			}
			f.mu.Unlock()
		})
	}
	from := restoredAt.Add(stabilityWindow + time.Second)
	end := from.Add(20 * time.Second)
	type result struct {
		sent                    time.Time
		begun, taken, goesOn    bool
		software, first, second string
	}
	results := make(chan result, 10_000)
	done := make(chan struct{}, 10_000)
	count := 0
	every(began, end, 250*time.Millisecond, func(n int) {
		count++
		go func() {
			defer func() { done <- struct{}{} }()
			id, prompt := fmt.Sprint("draft-", n), fmt.Sprintf("a%x:1200,b%x:2000,%x:300", n%8, n%380, 0x100000+n)
			x := result{sent: time.Now(), first: s.gateways[n%3].name, second: s.gateways[(n+1)%3].name}
			got, status, err := beginDraft(s.gateways[n%3], id, prompt, "", n, 8)
			r.event("%s to %s: %d, %d events, then the channel breaks, %v", id, x.first, status, strings.Count(got, "\n\n"), err)
			x.begun = status == 200 && strings.Contains(got, "\n\n")
			if x.begun {
				x.taken = true
				x.software = strings.Fields(got[strings.Index(got, "data: "):])[1]
				last := strings.Count(got[:strings.LastIndex(got, "\n\n")+2], "\n\n")
				time.Sleep(50 * time.Millisecond)
				extra := fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, id)
				more, status, err := beginDraft(s.gateways[(n+1)%3], id+"-again", prompt, extra, n, events)
				x.goesOn = status == 200 && strings.Contains(more, "\n\n")
				r.event("%s-again to %s, from event %d of %s on: %d, %d events, %v", id, x.second, last+1, x.software, status, strings.Count(more, "\n\n"), err)
			}
			results <- x
		}()
	})
	for range count {
		<-done
	}
	close(results)
	begun, sent, taken, goOn := 0, 0, 0, 0
	for x := range results {
		if x.sent.Before(from) {
			continue
		}
		sent++
		if x.begun {
			begun++
		}
		if x.taken {
			taken++
			if x.goesOn {
				goOn++
			}
		}
	}
	shareNew, shareOn := float64(begun)/float64(max(sent, 1)), float64(goOn)/float64(max(taken, 1))
	isBroken := taken >= 12 && shareOn < shareNew/2
	text := fmt.Sprintf("LOST: %d of %d new streams began (%.2f); of %d that were taken up again %d went on (%.2f)", begun, sent, shareNew, taken, goOn, shareOn)
	r.event("%s", text)
	fmt.Println(text)
	return isBroken, nil
}
