package ingress

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/valyala/fasthttp"
)

// headerStatus returns the HTTP status for a header that could not be read, or 0 if the connection ended.
func headerStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, io.EOF):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// framingProblem describes why the length of the request is ambiguous, or returns "" if it is not. Another HTTP
// implementation could find a different end of an ambiguous request, and so take part of it for a second request
// (request smuggling).
func framingProblem(h *fasthttp.RequestHeader) string {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return "malformed header line"
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if !isDecimal(bytes.TrimSpace(value)) {
				return "malformed length"
			}
		case "transfer-encoding":
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return "unknown transfer encoding"
			}
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return "conflicting lengths"
	}
	return ""
}

// isDecimal reports whether value consists of one or more decimal digits.
func isDecimal(value []byte) bool {
	for _, b := range value {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(value) > 0
}
