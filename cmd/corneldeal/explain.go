package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/explain"
)

// explainTimeout limits the call to the gateway.
const explainTimeout = 5 * time.Second

// standardInput is the value of --request that stands for standard input.
const standardInput = "-"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where a gateway would send a request now, and why, without sending it",
		Description: "Asks a running gateway on its metrics port. Nothing is sent, charged or counted. The request is read\n" +
			"from a file or standard input, as on the wire: a request line, headers and, after an empty line, a body.\n" +
			"It can also be given by flags; keys belong into a file, since others may see the arguments of a process.\n" +
			"Exit status: 0 if the decision is shown, also if it is a refusal; 1 if no route takes the request or the\n" +
			"gateway gives no answer; 2 for mistakes in the arguments or the request.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Usage: "`IP:PORT` of the gateway's metrics", Required: true},
			&cli.StringFlag{Name: "request", Usage: "`FILE` with the request, - for standard input"},
			&cli.StringFlag{Name: "method", Usage: "`METHOD` of the request", Value: fasthttp.MethodGet},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Value: "/"},
			&cli.StringSliceFlag{Name: "header", Usage: "`HEADER` of the request, as 'Name: value'"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			head, err := explainedRequest(c)
			if err != nil {
				return err
			}
			answer, err := askForExplanation(c.String("admin"), head)
			if err != nil {
				return err
			}
			return printExplanation(c.Root().Writer, answer, c.Bool("json"))
		},
	}
}

// explainedRequest returns the request that the arguments name, as on the wire.
func explainedRequest(c *cli.Command) ([]byte, error) {
	file, host := c.String("request"), c.String("host")
	if (file == "") == (host == "") {
		return nil, &exitError{status: exitInvalid, message: "name a request with either --request or --host"}
	}
	switch file {
	case "":
		lines := append([]string{c.String("method") + " " + c.String("path") + " HTTP/1.1", "Host: " + host}, c.StringSlice("header")...)
		return []byte(strings.Join(lines, "\r\n")), nil
	case standardInput:
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &exitError{status: exitInvalid, message: err.Error()}
	}
	return text, nil
}

// askForExplanation asks a gateway to explain a request and returns its report as JSON.
func askForExplanation(admin string, head []byte) ([]byte, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + admin + "/explain")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(head)
	if err := fasthttp.DoTimeout(req, resp, explainTimeout); err != nil {
		return nil, fmt.Errorf("ask the gateway at %s: %w", admin, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return resp.Body(), nil
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return nil, &exitError{status: exitInvalid, message: string(resp.Body())}
	case fasthttp.StatusNotFound:
		return nil, fmt.Errorf("nothing at %s explains requests; want the metrics port of a gateway", admin)
	}
	return nil, fmt.Errorf("the gateway at %s answered with status %d: %s", admin, resp.StatusCode(), resp.Body())
}

// printExplanation prints a report. The error states that no route takes the request.
func printExplanation(w io.Writer, answer []byte, asJSON bool) error {
	var report explain.Report
	if err := json.Unmarshal(answer, &report); err != nil {
		return fmt.Errorf("the gateway's answer is unreadable: %w", err)
	}
	var err error
	if asJSON {
		_, err = w.Write(answer)
	} else if !report.NoRoute() {
		err = report.WriteText(w)
	}
	if err == nil && report.NoRoute() {
		err = fmt.Errorf("no route takes %s %s%s under configuration %d", report.Request.Method, report.Request.Host, report.Request.Path,
			report.Ages.ConfigVersion)
	}
	return err
}
