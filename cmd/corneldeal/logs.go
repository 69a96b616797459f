package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// logLine is one line of a gateway's log with what orders and filters it.
type logLine struct {
	at      time.Time
	request string
	text    string
}

// mergeLogs writes the lines of several logs in the order of their times. Only those of one request are written where
// request is not empty. Lines that are no log lines are left out and counted.
func mergeLogs(w io.Writer, files []string, request string) (unreadable int, err error) {
	var lines []logLine
	for _, file := range files {
		read, bad, err := readLog(file)
		if err != nil {
			return 0, err
		}
		lines = append(lines, read...)
		unreadable += bad
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, line := range lines {
		if request != "" && line.request != request {
			continue
		}
		if _, err := fmt.Fprintln(w, line.text); err != nil {
			return unreadable, err
		}
	}
	return unreadable, nil
}

func readLog(file string) (lines []logLine, unreadable int, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var head struct {
			Time    time.Time `json:"time"`
			Request string    `json:"request"`
		}
		if json.Unmarshal(scanner.Bytes(), &head) != nil || head.Time.IsZero() {
			unreadable++
			continue
		}
		lines = append(lines, logLine{at: head.Time, request: head.Request, text: scanner.Text()})
	}
	return lines, unreadable, scanner.Err()
}
