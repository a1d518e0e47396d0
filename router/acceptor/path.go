package acceptor

import (
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

const (
	// MaxKeyBytes is the maximum length of a percent-decoded key in bytes.
	MaxKeyBytes = 1024
	// MaxServiceNameBytes is the maximum length of the name of a service in bytes.
	MaxServiceNameBytes = 64

	pathPrefix = "/v1/"
)

// target holds the parts of the path of a request.
type target struct {
	service string
	// key is percent-decoded.
	key string
	// route is the rest of the path in canonical percent-encoding. Otherwise a caller
	// could bypass the profile of a route with another encoding of it.
	route string
}

// parseTarget parses a percent-encoded path. Like all errors that are sent to
// callers, its errors have no class, which would add the name of the package.
func parseTarget(path string) (target, error) {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	if !ok {
		return target{}, errs.New("path does not start with %s", pathPrefix)
	}
	service, rest, _ := strings.Cut(rest, "/")
	if !isValidServiceName(service) {
		return target{}, errs.New("name of the service has other characters than a-z, 0-9 and hyphens, or a wrong length")
	}
	segment, rest, _ := strings.Cut(rest, "/")
	key, err := parseKey(segment)
	if err != nil {
		return target{}, err
	}
	route, err := parseRoute(rest)
	if err != nil {
		return target{}, err
	}
	return target{service: service, key: key, route: route}, nil
}

func isValidServiceName(name string) bool {
	if name == "" || len(name) > MaxServiceNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

func parseKey(segment string) (string, error) {
	key, err := decodeSegment(segment)
	switch {
	case err != nil:
		return "", errs.New("key: %w", err)
	case key == "":
		return "", errs.New("key is empty")
	case len(key) > MaxKeyBytes:
		return "", errs.New("key is longer than %d bytes", MaxKeyBytes)
	}
	return key, nil
}

// parseRoute returns a route in canonical percent-encoding. Only the last segment may
// be empty.
func parseRoute(rest string) (string, error) {
	if rest == "" {
		return "", nil
	}
	segments := strings.Split(rest, "/")
	for i, segment := range segments {
		decoded, err := decodeSegment(segment)
		if err != nil {
			return "", errs.New("route: %w", err)
		}
		if decoded == "" && i < len(segments)-1 {
			return "", errs.New("route has an empty segment")
		}
		segments[i] = url.PathEscape(decoded)
	}
	return strings.Join(segments, "/"), nil
}

// decodeSegment percent-decodes a segment. It refuses what a backend server might
// resolve to another path: dot segments, also next to an encoded slash or backslash,
// and control characters.
func decodeSegment(segment string) (string, error) {
	decoded, err := url.PathUnescape(segment)
	if err != nil {
		return "", errs.New("%w", err)
	}
	if !utf8.ValidString(decoded) {
		return "", errs.New("segment is not UTF-8")
	}
	if strings.ContainsFunc(decoded, isControl) {
		return "", errs.New("segment has a control character")
	}
	for part := range strings.FieldsFuncSeq(decoded, isSlash) {
		if part == "." || part == ".." {
			return "", errs.New("segment is, or hides, a dot segment")
		}
	}
	return decoded, nil
}

func isControl(r rune) bool {
	return r < 0x20 || (r >= 0x7f && r < 0xa0)
}

func isSlash(r rune) bool {
	return r == '/' || r == '\\'
}
