package requester

import "bytes"

// hasLegacyEncoding reports whether the next response is one of HTTP/1.0 with a
// Transfer-Encoding, which makes its end ambiguous (RFC 9112, section 6.1). net/http drops
// that field without an error. Heads beyond the buffer of the reader are not searched.
func (c *conn) hasLegacyEncoding() bool {
	start, _ := c.reader.Peek(len(legacyVersion))
	if !bytes.Equal(start, []byte(legacyVersion)) {
		return false
	}
	for size := c.reader.Buffered(); ; size = min(c.reader.Buffered()+1, readBufferBytes) {
		head, err := c.reader.Peek(size)
		end := max(bytes.Index(head, []byte("\r\n\r\n")), bytes.Index(head, []byte("\n\n")))
		if end >= 0 {
			head = head[:end]
		}
		if end >= 0 || err != nil || size == readBufferBytes {
			return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:"))
		}
	}
}

// legacyVersion begins responses of HTTP/1.0.
const legacyVersion = "HTTP/1.0"
