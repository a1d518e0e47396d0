package requester

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/zeebo/errs"
)

// writeRequest sends a request and returns how many bytes were sent. A body that is
// large or of unknown length is sent in the background, while the response is awaited.
func (c *conn) writeRequest(codec HeaderCodec, serverRequest *ServerRequest, body io.Reader) (int, error) {
	relay := serverRequest.Relay
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", relay.Method, relay.Target, relay.Host)
	header := make(http.Header, len(relay.Header)+4)
	for _, field := range relay.Header {
		header[field.Name] = field.Values
	}
	codec.SetHeader(header, serverRequest)
	switch {
	case relay.Length < 0:
		header["Transfer-Encoding"] = []string{"chunked"}
	case relay.Length > 0 || expectsBody(relay.Method):
		header["Content-Length"] = []string{strconv.FormatInt(relay.Length, 10)}
	}
	if err := header.Write(&buffer); err != nil {
		return 0, Error.New("writing the header: %w", err)
	}
	buffer.WriteString("\r\n")
	if relay.Length >= 0 && relay.Length <= maxInlineBodyBytes {
		if relay.Length > 0 {
			if _, err := io.CopyN(&buffer, body, relay.Length); err != nil {
				return 0, Error.New("%w: %w", errBody, err)
			}
		}
		sent, err := c.raw.Write(buffer.Bytes())
		c.sent = err == nil
		return sent, wrapSendError(err)
	}
	sent, err := c.raw.Write(buffer.Bytes())
	if err != nil {
		return sent, wrapSendError(err)
	}
	c.bodyDone = make(chan struct{})
	go c.sendBody(relay.Length, body)
	return sent, nil
}

// errBody means that the body of the caller's request could not be read.
var errBody = errs.New("reading the body of the caller's request")

func wrapSendError(err error) error {
	if err == nil {
		return nil
	}
	return Error.New("sending the request: %w", err)
}

// expectsBody reports whether requests of a method usually have a body, so that an
// empty one needs a Content-Length of 0.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// sendBody sends a body that is large or of unknown length.
func (c *conn) sendBody(length int64, body io.Reader) {
	defer close(c.bodyDone)
	source := &bodySource{Reader: body}
	var err error
	if length >= 0 {
		_, err = io.CopyN(c.raw, source, length)
	} else {
		err = writeChunkedBody(c.raw, source)
	}
	c.sent = err == nil
	if source.failed || err == io.EOF {
		// The server must not wait for the rest, or treat a partial body as complete. After a
		// failed write it has closed the connection, and its response may still be read.
		c.interrupt()
	}
}

// bodySource is a body that records whether reading it has failed.
type bodySource struct {
	io.Reader
	failed bool
}

// Read implements [io.Reader].
func (s *bodySource) Read(data []byte) (int, error) {
	n, err := s.Reader.Read(data)
	s.failed = s.failed || err != nil && err != io.EOF
	return n, err
}

func writeChunkedBody(w io.Writer, body io.Reader) error {
	buffer := make([]byte, maxInlineBodyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); err != nil {
				return Error.New("sending a chunk: %w", err)
			}
		}
		if err == io.EOF {
			_, err := io.WriteString(w, "0\r\n\r\n")
			return wrapSendError(err)
		}
		if err != nil {
			return Error.New("reading the body of the caller's request: %w", err)
		}
	}
}
