package httpcall

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"
)

// The parser of fasthttp accepts heads that RFC 9112 does not allow, so the bytes of a head are checked before it parses them.

// ResponseError reports that a server sent something that is not a whole response in the sense of RFC 9112. The server has run
// to send it, so it need not have ended. The request may have run.
type ResponseError struct {
	// Detail says what is wrong.
	Detail string
	// Cut is set if the bytes that came are sound and the server ended the connection before the rest.
	Cut bool
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *ResponseError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("broken response: %s: %v", e.Detail, e.Err)
	}
	return "broken response: " + e.Detail
}

// Unwrap returns the cause, or nil.
func (e *ResponseError) Unwrap() error {
	return e.Err
}

// maxQuotedBytes limits the bytes of a response that an error quotes.
const maxQuotedBytes = 60

// brokenResponse returns a ResponseError that quotes the bytes that are wrong.
func brokenResponse(what string, b []byte) *ResponseError {
	return &ResponseError{Detail: fmt.Sprintf("%s %q", what, b[:min(len(b), maxQuotedBytes)])}
}

// Status codes of RFC 9110, section 15.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// head is what the check of a head learns of it.
type head struct {
	// minor is the minor version of HTTP/1.
	minor  int
	status int
	// lengths and encodings are the numbers of fields that frame the body.
	lengths, encodings int
}

// headBegin is what every head begins with.
const headBegin = "HTTP/1."

// readFinalHead reads the heads of a response up to that with the final status, which it parses into h. Errors that are not of
// type *ResponseError are those of the connection.
func readFinalHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for {
		checked, err := awaitHead(r)
		if err != nil {
			return err
		}
		if err := h.Read(r); err != nil {
			return &ResponseError{Detail: "head", Err: err}
		}
		if checked.status >= minFinalStatus {
			return nil
		}
	}
}

// awaitHead waits until r has buffered a whole head, and checks it.
func awaitHead(r *bufio.Reader) (head, error) {
	for wanted := 1; ; wanted = r.Buffered() + 1 {
		_, readErr := r.Peek(wanted)
		// What is buffered can be peeked without an error.
		buffered, _ := r.Peek(r.Buffered())
		h, whole, err := parseHead(buffered)
		switch {
		case err != nil:
			return h, err
		case whole:
			return h, nil
		case errors.Is(readErr, bufio.ErrBufferFull):
			return h, brokenResponse("head is too long:", buffered)
		case errors.Is(readErr, io.EOF) && len(buffered) > 0:
			return h, io.ErrUnexpectedEOF
		case readErr != nil:
			return h, readErr
		}
	}
}

// parseHead checks the head at the beginning of b, line by line. It reports whether the head is there as a whole.
func parseHead(b []byte) (h head, whole bool, err error) {
	line, rest, found := cutLine(b)
	if !found {
		if n := min(len(b), len(headBegin)); string(b[:n]) != headBegin[:n] {
			return h, false, brokenResponse("no status line:", b)
		}
		return h, false, nil
	}
	if err := h.parseStatusLine(line); err != nil {
		return h, false, err
	}
	for {
		if line, rest, found = cutLine(rest); !found {
			return h, false, nil
		}
		if isLastLine(line) {
			return h, true, h.checkFraming()
		}
		name, err := parseFieldLine(line)
		if err != nil {
			return h, false, err
		}
		h.countField(name)
	}
}

// cutLine returns the first line of b without its line feed, and what follows. It reports whether b has a whole line.
func cutLine(b []byte) (line, rest []byte, found bool) {
	return bytes.Cut(b, []byte("\n"))
}

// isLastLine reports whether a line ends a head, or the trailers of a body.
func isLastLine(line []byte) bool {
	return string(line) == "\r"
}

// parseFieldLine checks a line of the form field-name ":" field-value CR, and returns the name. A line that begins with a blank
// would go on with the field before it. RFC 9112, section 5.2, lets a gateway refuse such a response.
func parseFieldLine(line []byte) (name []byte, err error) {
	text, terminated := bytes.CutSuffix(line, []byte("\r"))
	name, value, found := bytes.Cut(text, []byte(":"))
	switch {
	case !terminated:
		return nil, brokenResponse("line without a carriage return:", line)
	case !found || !isToken(name):
		return nil, brokenResponse("name of a field:", line)
	case !isFieldText(value):
		return nil, brokenResponse("value of a field:", line)
	}
	return name, nil
}

// countField counts a field that frames the body.
func (h *head) countField(name []byte) {
	switch {
	case isField(name, fasthttp.HeaderContentLength):
		h.lengths++
	case isField(name, fasthttp.HeaderTransferEncoding):
		h.encodings++
	}
}

// isField reports whether a name is that of a field.
func isField(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

// checkFraming checks that the fields frame the body in one way, see RFC 9112, sections 6.1 and 6.3. That each of them is there
// once and has a valid value is left to the parser of fasthttp.
func (h *head) checkFraming() error {
	switch {
	case h.encodings > 0 && h.lengths > 0:
		return &ResponseError{Detail: "both a length and a transfer encoding"}
	case h.encodings > 0 && h.minor != 1:
		return &ResponseError{Detail: fmt.Sprintf("transfer encoding in version 1.%d", h.minor)}
	}
	return nil
}

// parseStatusLine parses a line of the form HTTP-version SP status-code [SP reason-phrase] CR.
func (h *head) parseStatusLine(line []byte) error {
	text, terminated := bytes.CutSuffix(line, []byte("\r"))
	version, rest, found := bytes.Cut(text, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, isHTTP := bytes.CutPrefix(version, []byte(headBegin))
	switch {
	case !terminated, !found, !isHTTP, !areDigits(minor, 1):
		return brokenResponse("no status line:", line)
	case !areDigits(code, 3):
		return brokenResponse("no status code:", line)
	case !isFieldText(reason):
		return brokenResponse("reason phrase:", line)
	}
	h.minor = int(minor[0] - '0')
	h.status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if h.status < minStatus || h.status > maxStatus || h.status == fasthttp.StatusSwitchingProtocols {
		// No request asks for another protocol.
		return brokenResponse("no status of an answer:", line)
	}
	return nil
}

// areDigits reports whether b consists of count decimal digits.
func areDigits(b []byte, count int) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) == count
}

// isToken reports whether b is a token in the sense of RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

// isTokenByte reports whether tokens may contain c.
func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isFieldText reports whether b has only bytes that values of fields and reason phrases may have: no control bytes but tabs.
func isFieldText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
