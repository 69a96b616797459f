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

// maxLogLineBytes is the maximum length of a line of a log.
const maxLogLineBytes = 1 << 20

// logLine is a line of a gateway's log with the fields by which lines are sorted and filtered.
type logLine struct {
	at      time.Time
	request string
	text    string
}

// mergeLogs writes the lines of several logs in the order of their times. If request is not empty, it writes only the
// lines of that request. It skips lines that are not log lines and returns their number.
func mergeLogs(w io.Writer, files []string, request string) (unreadable int, err error) {
	var lines []logLine
	for _, file := range files {
		read, skipped, err := readLog(file)
		if err != nil {
			return 0, err
		}
		lines = append(lines, read...)
		unreadable += skipped
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

// readLog reads the lines of a log. It skips lines that are not log lines and returns their number.
func readLog(file string) (lines []logLine, unreadable int, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		var entry struct {
			Time    time.Time `json:"time"`
			Request string    `json:"request"`
		}
		if json.Unmarshal(scanner.Bytes(), &entry) != nil || entry.Time.IsZero() {
			unreadable++
			continue
		}
		lines = append(lines, logLine{at: entry.Time, request: entry.Request, text: scanner.Text()})
	}
	return lines, unreadable, scanner.Err()
}
