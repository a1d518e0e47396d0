package acceptor

import (
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

const (
	// MaxKey is the longest key in bytes, percent-decoded.
	MaxKey = 1024
	// MaxService is the longest name of a service.
	MaxService = 64

	pathPrefix = "/v1/"
)

// target is what the path of a request names.
type target struct {
	service string
	// key is percent-decoded.
	key string
	// route is the rest of the path in its one canonical encoding, so that no
	// other encoding of a route escapes the profile for it.
	route string
}

// parseTarget parses a raw, percent-encoded path. Its errors, like all on what a
// caller did wrong, have no class, since callers read them.
func parseTarget(path string) (target, error) {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	if !ok {
		return target{}, errs.New("path does not start with %s", pathPrefix)
	}
	service, rest, _ := strings.Cut(rest, "/")
	if !isServiceName(service) {
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

func isServiceName(name string) bool {
	if name == "" || len(name) > MaxService {
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
	key, err := parseSegment(segment)
	switch {
	case err != nil:
		return "", errs.New("key: %w", err)
	case key == "":
		return "", errs.New("key is empty")
	case len(key) > MaxKey:
		return "", errs.New("key is longer than %d bytes", MaxKey)
	}
	return key, nil
}

// parseRoute brings a route into its canonical encoding. Only its last segment
// may be empty.
func parseRoute(rest string) (string, error) {
	if rest == "" {
		return "", nil
	}
	segments := strings.Split(rest, "/")
	for i, segment := range segments {
		plain, err := parseSegment(segment)
		if err != nil {
			return "", errs.New("route: %w", err)
		}
		if plain == "" && i < len(segments)-1 {
			return "", errs.New("route has an empty segment")
		}
		segments[i] = url.PathEscape(plain)
	}
	return strings.Join(segments, "/"), nil
}

// parseSegment decodes one segment. It refuses what a backend server might
// resolve to another path: dot segments, also behind an encoded slash or
// backslash, and control characters.
func parseSegment(segment string) (string, error) {
	plain, err := url.PathUnescape(segment)
	if err != nil {
		return "", errs.New("%w", err)
	}
	if !utf8.ValidString(plain) {
		return "", errs.New("segment is not UTF-8")
	}
	if strings.ContainsFunc(plain, isControl) {
		return "", errs.New("segment has a control character")
	}
	for part := range strings.FieldsFuncSeq(plain, isSlash) {
		if part == "." || part == ".." {
			return "", errs.New("segment is, or hides, a dot segment")
		}
	}
	return plain, nil
}

func isControl(r rune) bool {
	return r < 0x20 || (r >= 0x7f && r < 0xa0)
}

func isSlash(r rune) bool {
	return r == '/' || r == '\\'
}
