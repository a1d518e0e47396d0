package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// send sends a request without waiting for much longer than its deadline, and returns the
// status.
func send(address, method, target, id string, deadlineMillis, key int, body string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, fmt.Errorf("connecting: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(deadlineMillis)*time.Millisecond + time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: desk.example\r\nMarigoldhill-Request-Id: %s\r\nMarigoldhill-Deadline-Ms: %d\r\nMarigoldhill-Shard-Key: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, target, id, deadlineMillis, key, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, fmt.Errorf("reading the answer: %w", err)
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
