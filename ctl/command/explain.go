package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"bilberrylug.dev/core/explain"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

const (
	// explainTimeout limits the question to a router.
	explainTimeout = 5 * time.Second
	// maxReportBytes bounds the answer of a router. An upstream takes less than 1 KiB of it.
	maxReportBytes = 16 << 20
)

func (t *Tool) explain() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show where a router without agents would send a request now, and why, without sending it",
		ArgsUsage: "ROUTER", Description: "ROUTER is the host and metrics port of the router.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "host of the request"},
			&cli.StringFlag{Name: "path", Usage: "path of the request"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "method of the request"},
			&cli.StringFlag{Name: "key", Sources: cli.EnvVars("BILBERRYLUG_API_KEY"), Usage: "API key; the variable keeps it out of the process list"},
			&cli.StringFlag{Name: "service", Usage: "one of the route's services; that with the largest share by default"},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "length of the prompt"},
			&cli.IntFlag{Name: "output-tokens", Usage: "maximum length of the output"},
			&cli.StringFlag{Name: "model", Usage: "model of the generation"},
			&cli.StringSliceFlag{Name: "part", Usage: "part of the prompt; repeat for each part, in order"},
			&cli.DurationFlag{Name: "max-wait", Usage: "how long the caller waits; the route's timeout by default"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON, like --output json"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			q, err := queryOf(c)
			if err != nil {
				return err
			}
			report, err := askRouter(ctx, c.Args().First(), q)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return t.printJSON(report)
			}
			return t.print(c, report, func() { t.printReport(report) })
		},
	}
}

func queryOf(c *cli.Command) (explain.Query, error) {
	q := explain.Query{Key: c.String("key"), Request: explain.Request{
		Host: c.String("host"), Path: c.String("path"), Method: c.String("method"), Service: ids.Service(c.String("service")), Model: c.String("model"),
		PromptTokens: c.Int("prompt-tokens"), OutputTokens: c.Int("output-tokens"), Parts: c.StringSlice("part"),
		MaxWaitMS: c.Duration("max-wait").Milliseconds(),
	}}
	if c.Args().Len() != 1 {
		return q, fault.New(fault.BadRequest, "one ROUTER argument is needed")
	}
	if _, port, err := net.SplitHostPort(c.Args().First()); err != nil || port == "" {
		return q, fault.New(fault.BadRequest, "ROUTER must be host:port")
	}
	return q, q.Check()
}

// askRouter asks the router at an address. A fault of the router is returned with its code.
func askRouter(ctx context.Context, address string, q explain.Query) (*explain.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode question")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+explain.Path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "router %s", address)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask router %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(fault.ReplyInvalid, err, "router %s", address)
	case len(answer) > maxReportBytes:
		return nil, fault.New(fault.ReplyTooLarge, "router %s, more than %d bytes", address, maxReportBytes)
	case resp.StatusCode != http.StatusOK:
		return nil, refusalOf(address, resp.StatusCode, answer)
	}
	var report explain.Report
	if err := json.Unmarshal(answer, &report); err != nil {
		return nil, fault.Wrap(fault.ReplyInvalid, err, "router %s", address)
	}
	return &report, nil
}

// refusalOf returns the fault that a router has answered. Another process at the address, or a router of an older version,
// answers without one.
func refusalOf(address string, status int, answer []byte) error {
	var f explain.Fault
	if err := json.Unmarshal(answer, &f); err != nil || f.Code == "" {
		return fault.New(fault.ReplyInvalid, "router %s, status %d", address, status)
	}
	return fault.New(f.Code, "%s", f.Detail)
}
