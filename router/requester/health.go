package requester

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"marigoldhill/kernel/messenger"
)

// CheckHealth asks the backend server at address for its health and returns for how long
// it stays cold, nil if its answer does not say. server is its name. The request has a
// connection of its own, and ends with ctx, which must have a deadline; what is read is
// bounded as for responses.
func (c *Client) CheckHealth(ctx context.Context, address, path, server string) (*time.Duration, error) {
	raw, err := c.options.Network.Dial(ctx, address)
	if err != nil {
		return nil, Error.New("dialing the backend server for its health: %w", err)
	}
	conn := newConn(raw, address, &c.checks)
	defer conn.close()
	stop := context.AfterFunc(ctx, conn.interrupt)
	defer stop()
	deadline, _ := ctx.Deadline()
	serverRequest := &ServerRequest{
		Relay: &messenger.Relay{
			ID: healthID, Method: http.MethodGet, Target: path, Host: address, Key: messenger.NoKey,
			Header: []messenger.Header{{Name: "Connection", Values: []string{"close"}}},
		},
		Deadline: deadline,
		Server:   server,
	}
	conn.setDeadline(serverRequest)
	if _, err := conn.writeRequest(c.options.HeaderCodec, serverRequest, http.NoBody); err != nil {
		return nil, err
	}
	conn.head.limit(maxHeadBytes)
	response, err := conn.readResponse(serverRequest)
	if err != nil {
		return nil, Error.New("reading the health: %w", err)
	}
	return c.options.HeaderCodec.ParseHeader(response.StatusCode, response.Header).ColdLeft, nil
}

// healthID is the ID of health checks. Their answers need not have it, since each check has
// a connection of its own.
const healthID = "health"

// reportClosed reports a connection that the server closed before its idle timeout.
func (c *Client) reportClosed(conn *conn) {
	if time.Since(conn.idleSince) < conn.idleTimeout-idleCloseMargin {
		c.reportBroken()
	}
}

func (c *Client) reportBroken() {
	if c.options.OnBroken != nil {
		c.options.OnBroken()
	}
}

// ParseMillis parses a time left in the header of a response, a decimal number of
// milliseconds. It returns nil if text is empty or no such number.
func ParseMillis(text string) *time.Duration {
	millis, err := strconv.ParseFloat(text, 64)
	// The negated comparison also rejects NaN.
	if err != nil || !(millis >= 0 && millis <= maxMillis) {
		return nil
	}
	left := time.Duration(millis * float64(time.Millisecond))
	return &left
}

// maxMillis is about a year, far below the largest duration.
const maxMillis = 3e10
