package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/link"
)

// linksCmd serves the networks between the availability zones.
type linksCmd struct{ runDir }

// Run serves until the context ends.
func (c *linksCmd) Run(ctx context.Context) error {
	p, err := firm.ReadPlan(c.runDir.Run)
	if err != nil {
		return err
	}
	links, err := link.New(link.ConfigOf(p))
	if err != nil {
		return err
	}
	defer func() { _ = links.Close() }()
	ln, err := net.Listen("tcp", p.LinkAdmin)
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
