// Package command implements the command line of the load generator.
//
// # Usage
//
//	err := command.New(os.Stdout).Run(ctx, os.Args)
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"bilberrylug.dev/bench/caller"
	"bilberrylug.dev/core/group"
)

var errIncomplete = errors.New("at least one answer is incomplete or wrong")

// New returns the command line, which writes its results to out.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "bilberrylug-bench", Usage: "generate load and check every answer", Writer: out,
		Commands: []*cli.Command{answers(out), policy(out), disseminate(out)},
	}
}

func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "router", Required: true, Usage: "address of a router for callers; may be repeated"},
		&cli.StringFlag{Name: "key", Required: true, Usage: "API key of the workspace"},
		&cli.StringFlag{Name: "model", Value: "lug-7b", Usage: "model to request"},
		&cli.StringFlag{Name: "version", Value: "1", Usage: "version that the answers are checked against"},
	}
}

func answers(out io.Writer) *cli.Command {
	flags := append(
		callerFlags(),
		&cli.IntFlag{Name: "count", Value: 8, Usage: "number of concurrent answers"},
		&cli.IntFlag{Name: "tokens", Value: 300, Usage: "tokens of each answer"},
		&cli.DurationFlag{Name: "timeout", Value: 2 * time.Minute, Usage: "time limit of the run"},
	)
	return &cli.Command{
		Name: "answers", Usage: "stream a few long answers and count their tokens", Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			return printAnswers(out, streamAnswers(ctx, c))
		},
	}
}

func streamAnswers(ctx context.Context, c *cli.Command) []caller.Result {
	results := make([]caller.Result, c.Int("count"))
	g := group.New(ctx)
	for i := range results {
		g.Go(func(ctx context.Context) {
			client := caller.New(c.StringSlice("router"), c.String("key"), i)
			results[i] = client.Stream(ctx, caller.Request{
				ID: fmt.Sprintf("answer-%d-%d", time.Now().UnixNano(), i), Model: c.String("model"), Version: c.String("version"),
				Prompt: fmt.Sprintf("Summarise the ledger of lot %d.", i), MaxTokens: c.Int("tokens"), Seed: uint64(i),
			})
		})
	}
	g.Wait()
	return results
}

func printAnswers(out io.Writer, results []caller.Result) error {
	var expected, received, wrong, reconnects, complete int
	var longest time.Duration
	for i, r := range results {
		expected += r.Expected
		received += r.Received
		wrong += r.Wrong
		reconnects += r.Reconnects
		longest = max(longest, r.MaxGap())
		if r.Complete() {
			complete++
		} else {
			_, _ = fmt.Fprintf(out, "answer %d: %d of %d tokens, %v\n", i, r.Received, r.Expected, r.Err)
		}
	}
	_, _ = fmt.Fprintf(out, "answers %d, whole %d\ntokens expected %d, received %d, missing %d, repeated or wrong %d\n",
		len(results), complete, expected, received, max(0, expected-received), wrong+max(0, received-expected))
	_, _ = fmt.Fprintf(out, "longest gap between two tokens %d ms, reconnects %d\n", longest.Milliseconds(), reconnects)
	if complete != len(results) {
		return errIncomplete
	}
	return nil
}
