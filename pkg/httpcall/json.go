package httpcall

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// DoJSON is like Do. It decodes the body of a response with status 200 into answer, unless answer is nil, and returns the
// status of the response. Errors are of type *Error without a response, and else those of the decoder.
func (c *Client) DoJSON(ctx context.Context, address string, req *fasthttp.Request, answer any, opts Options) (status int, err error) {
	resp := &fasthttp.Response{}
	if err := c.Do(ctx, address, req, resp, opts); err != nil {
		return 0, err
	}
	status = resp.StatusCode()
	if status != fasthttp.StatusOK || answer == nil {
		return status, nil
	}
	return status, json.Unmarshal(resp.Body(), answer)
}
