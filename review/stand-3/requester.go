//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// sharedParts is the number of parts that requests share, as many as greeting-draft of the site has.
const sharedParts = 40

// newClient returns a client that opens a channel for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// stream is what a requester has of one stream over its tries.
type stream struct {
	id string
	// first is the attempt that brought the first event.
	first, lastEvent string
	// software are the versions that the events name, in order, without repetitions in a row.
	software []string
	events   int
	complete bool
	status   int
	// split is set if the stream goes by the route that is split between two services.
	split bool
}

// path returns the path of the stream's requests.
func (s *stream) path() string {
	if s.split {
		return "/note/1"
	}
	return "/draft/1"
}

// read sends one attempt and reads its events until the channel ends.
func (s *stream) read(c *http.Client, caller, attempt string, budget time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+caller+s.path(), bytes.NewReader([]byte("prompt of "+s.id)))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Key": "key-guild", "Model": "m", "Token-Counts": "640,100",
		"Prompt-Prefix": fmt.Sprintf("%x:500,%x:140", 0xc0ffee00+hash(s.id)%sharedParts, hash(s.id)), "Deadline-Milliseconds": fmt.Sprint(budget.Milliseconds()),
	} {
		req.Header.Set(name, value)
	}
	if s.lastEvent != "" {
		req.Header.Set("Last-Event-Id", s.lastEvent)
		req.Header.Set("Resumes", s.first)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	lines := bufio.NewReader(resp.Body)
	id := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			s.complete = err.Error() == "EOF"
			return nil
		}
		line = strings.TrimSuffix(line, "\n")
		if value, found := strings.CutPrefix(line, "id: "); found {
			id = value
		}
		if value, found := strings.CutPrefix(line, "data: "); found {
			value, _, _ = strings.Cut(value, " ")
			if len(s.software) == 0 || s.software[len(s.software)-1] != value {
				s.software = append(s.software, value)
			}
			if s.first == "" {
				s.first = attempt
			}
			s.events++
			s.lastEvent = id
		}
	}
}

// hash returns a number for a text.
func hash(text string) uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(text) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}
