package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/link"
)

// linksCmd simulates the network links between the availability zones.
type linksCmd struct{ runFlags }

// Run serves until the context is cancelled.
func (c *linksCmd) Run(ctx context.Context) error {
	plan, err := firm.ReadPlan(c.runFlags.Run)
	if err != nil {
		return err
	}
	links, err := link.New(link.ConfigOf(plan))
	if err != nil {
		return err
	}
	defer func() { _ = links.Close() }()
	ln, err := net.Listen("tcp", plan.LinkAdmin)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/lab/links", links)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
