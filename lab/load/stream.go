package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// maxLine bounds one line of a stream.
const maxLine = 1 << 20

// answer collects one streamed answer, possibly over several attempts.
type answer struct {
	text   strings.Builder
	next   int
	first  time.Time
	last   time.Time
	gaps   []time.Duration
	cached int
	done   bool
}

// errCut means that the stream broke off before its end marker.
var errCut = errors.New("the stream broke off")

// refusedError is an answer with an error status.
type refusedError struct {
	status   int
	code     string
	runState string
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("status %d, code %s, run state %s", e.status, e.code, e.runState)
}

// event is what the load tool reads of a chunk, or an error event.
type event struct {
	TokenIndex *int          `json:"token_index"`
	Choices    []eventChoice `json:"choices"`
	Usage      *engine.Usage `json:"usage"`
	Error      *eventError   `json:"error"`
}

type eventChoice struct {
	Delta engine.Delta `json:"delta"`
}

type eventError struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	RunState string `json:"run_state"`
}

// stream sends a chat request and adds what arrives to the answer. Opened, if set, runs when the headers arrive.
func stream(ctx context.Context, client *http.Client, url string, header http.Header, body []byte, a *answer, opened func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header = header
	resp, err := client.Do(req)
	if opened != nil {
		opened()
	}
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	return a.read(resp.Body)
}

func readRefusal(resp *http.Response) error {
	data, _ := io.ReadAll(resp.Body)
	var e event
	_ = json.Unmarshal(data, &e)
	out := &refusedError{status: resp.StatusCode, runState: resp.Header.Get("Corneldeal-Run-State")}
	if e.Error != nil {
		out.code = e.Error.Code
	}
	return out
}

func (a *answer) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			a.done = true
			_, _ = io.Copy(io.Discard, r)
			return nil
		}
		if err := a.add(data, time.Now()); err != nil {
			return err
		}
	}
	return errors.Join(errCut, scanner.Err())
}

// add takes one event. A token that is missing or comes twice is an error.
func (a *answer) add(data []byte, now time.Time) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Error != nil {
		return fmt.Errorf("error event: %s, run state %s: %s", e.Error.Code, e.Error.RunState, e.Error.Message)
	}
	if e.Usage != nil {
		a.cached = e.Usage.PromptTokensDetails.CachedTokens
	}
	if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
		return nil
	}
	if e.TokenIndex != nil && *e.TokenIndex != a.next {
		return fmt.Errorf("token %d came where %d was due", *e.TokenIndex, a.next)
	}
	if a.first.IsZero() {
		a.first = now
	} else {
		a.gaps = append(a.gaps, now.Sub(a.last))
	}
	a.last = now
	a.next++
	a.text.WriteString(e.Choices[0].Delta.Content)
	return nil
}

// check compares the answer with the one that the engine must give.
func (a *answer) check(messages []route.Message, tokens int) error {
	if !a.done {
		return errCut
	}
	if a.text.String() != engine.Text(messages, Version, 0, tokens) {
		return fmt.Errorf("the text of %d tokens is not the answer to this request", tokens)
	}
	return nil
}
