package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// lossDelay is how long after the first start a machine loses its disk.
	lossDelay = 150 * time.Millisecond
	// downTime is how long that machine is down.
	downTime = 3 * time.Second
	// servingTime is how long clients send requests.
	servingTime = 60 * time.Second
)

// playFounding starts a deployment that bears the loss of two machines with a disk. One of the
// three machines that are listed as seeds loses its disk soon after the first start.
func playFounding(ctx context.Context, s *stage, trouble bool) (bool, error) {
	c := &cluster{stage: s}
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, at(machineIP(n+1), s.ports.control))
	}
	places := []string{"hobart-a", "hobart-b", "launceston", "devonport", "hobart-a"}
	for n, zone := range places {
		c.controls = append(c.controls, s.addControl(n+1, zone, seeds, 2))
	}
	for n := range 3 {
		c.routers = append(c.routers, s.addRouter(n+11, places[n], "desk", seeds))
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	for n, router := range c.routers {
		b := newBackend(s, router, fmt.Sprintf("i-%d", n+1), "desk", places[n])
		if err := b.start(); err != nil {
			return false, err
		}
		c.backends = append(c.backends, b)
	}
	if trouble {
		time.Sleep(lossDelay)
		lost := c.controls[2]
		lost.kill()
		data := lost.fields["data_dir"].(string)
		if err := emptyFolder(data); err != nil {
			return false, err
		}
		s.note("%s has lost its disk and is down for %s", lost.name, downTime)
		time.Sleep(downTime)
		if err := lost.start(); err != nil {
			return false, err
		}
	}
	order, cancel := context.WithTimeout(ctx, servingTime)
	defer cancel()
	traffic, stop := context.WithTimeout(ctx, servingTime)
	defer stop()
	go c.send(traffic, 100*time.Millisecond)
	if err := s.putConfiguration(order, c.controls, configuration(1, nil)); err != nil {
		if !errors.Is(err, errCannotRun) {
			return false, err
		}
		s.note("the first configuration has no acknowledgement after %s", servingTime)
	}
	<-traffic.Done()
	runs := 0
	for _, b := range c.backends {
		runs += b.count()
	}
	s.note("%d requests were run", runs)
	return runs == 0, nil
}

// emptyFolder removes what a folder holds.
func emptyFolder(path string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(path, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}
