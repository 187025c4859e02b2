// Command hitchctl is the operators' command line. It calls the operator port
// of a host; the keys command works on local files only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"magnoliahitch/hitchctl/client"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(client.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, func(g *client.Global) client.Command {
		return client.Command{Name: "keys", Description: "make keys for development", Options: &keysCommand{client: g}}
	}))
}
