// Command bilberrylug-standin runs stand-ins for the systems that bilberrylug depends on, for tests and demonstrations.
//
// # Usage
//
//	bilberrylug-standin platform --listen 127.0.0.1:7070
//	bilberrylug-standin engine --listen 127.0.0.1:8001 --model lug-7b@1
//	bilberrylug-standin plain --listen 127.0.0.1:8101
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"bilberrylug.dev/standin/engine"
	"bilberrylug.dev/standin/kv"
	"bilberrylug.dev/standin/plain"
)

func main() {
	app := &cli.Command{
		Name:  "bilberrylug-standin",
		Usage: "run a stand-in for a system that bilberrylug depends on",
		Commands: []*cli.Command{
			command("platform", "the platform's key-value store and VM list", nil, func(*cli.Command) http.Handler {
				return kv.New().Handler()
			}),
			command("engine", "a model engine", engineFlags(), newEngine),
			command("plain", "a plain service", nil, func(*cli.Command) http.Handler { return plain.New().Handler() }),
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command(name, usage string, flags []cli.Flag, handler func(*cli.Command) http.Handler) *cli.Command {
	flags = append(flags, &cli.StringFlag{Name: "listen", Required: true, Usage: "address to listen on"})
	return &cli.Command{Name: name, Usage: usage, Flags: flags, Action: func(_ context.Context, c *cli.Command) error {
		s := &http.Server{Addr: c.String("listen"), Handler: handler(c), ReadHeaderTimeout: time.Minute}
		return s.ListenAndServe()
	}}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "model", Usage: "model to load, as name@version"},
		&cli.DurationFlag{Name: "cadence", Value: 20 * time.Millisecond, Usage: "time between tokens"},
		&cli.DurationFlag{Name: "prefill", Value: 40 * time.Millisecond, Usage: "time before the first token (prefill)"},
		&cli.DurationFlag{Name: "report-lag", Value: 2 * time.Second, Usage: "minimum interval between updates of the load report"},
		&cli.IntFlag{Name: "slots", Value: 16, Usage: "number of requests that the load report counts as running"},
		&cli.BoolFlag{Name: "checks-fence", Usage: "reject orders with a stale fencing number"},
	}
}

func newEngine(c *cli.Command) http.Handler {
	o := engine.Options{
		Cadence: c.Duration("cadence"), Prefill: c.Duration("prefill"), Slots: c.Int("slots"),
		ChecksFence: c.Bool("checks-fence"), ReportLag: c.Duration("report-lag"),
	}
	for _, m := range c.StringSlice("model") {
		name, version, _ := strings.Cut(m, "@")
		o.Models = append(o.Models, engine.Model{Name: name, Version: version})
	}
	return engine.New(o).Handler()
}
