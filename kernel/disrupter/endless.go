package disrupter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	// maxEndlessBytes is how much an endless response contains before it ends. A reader
	// without a bound reads all of it.
	maxEndlessBytes = 64 << 20
	// endlessBlockBytes is the size of one write.
	endlessBlockBytes = 32 << 10
)

// EndlessServer is a server on a real socket that responds to one request with bytes
// without end, until the client closes the connection.
type EndlessServer struct {
	socket  net.Listener
	written chan int
}

// ServeEndless starts an EndlessServer on a loopback address. Its response is head, then
// part over and over.
func ServeEndless(head, part string) (*EndlessServer, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{socket: socket, written: make(chan int, 1)}
	go s.serve(head, part)
	return s, nil
}

func (s *EndlessServer) serve(head, part string) {
	conn, err := s.socket.Accept()
	if err != nil {
		return
	}
	_, _ = http.ReadRequest(bufio.NewReader(conn))
	count, err := io.WriteString(conn, head)
	block := strings.Repeat(part, 1+endlessBlockBytes/len(part))
	for count < maxEndlessBytes && err == nil {
		n := 0
		n, err = io.WriteString(conn, block)
		count += n
	}
	_ = conn.Close()
	s.written <- count
}

// Address returns the address of the server.
func (s *EndlessServer) Address() string {
	return s.socket.Addr().String()
}

// Written waits for the end of the response and returns how many bytes of it were written.
func (s *EndlessServer) Written() int {
	return <-s.written
}

// Close closes the listener.
func (s *EndlessServer) Close() {
	_ = s.socket.Close()
}
