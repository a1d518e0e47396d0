package sanitizer

import (
	"net/http"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("sanitizer")

// ErrInvalid is wrapped by the error for a response that HTTP does not allow.
var ErrInvalid = errs.New("invalid response")

// Statuses are the three digits from 100 to 599 (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
	// statusDigits is the number of digits of a status.
	statusDigits = 3
)

// CheckResponse returns an error unless the version, the status and the fields of a
// response are valid. net/http accepts any three characters that are a number as a status,
// and blanks in the names of fields, which hide a Content-Length.
func CheckResponse(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return Error.New("version %s: %w", response.Proto, ErrInvalid)
	}
	for n := range statusDigits {
		if response.Status[n] < '0' || response.Status[n] > '9' {
			return Error.New("status %.20q: %w", response.Status, ErrInvalid)
		}
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus || response.StatusCode == http.StatusSwitchingProtocols {
		return Error.New("status %d: %w", response.StatusCode, ErrInvalid)
	}
	for name, values := range response.Header {
		if err := checkField(name, values); err != nil {
			return err
		}
	}
	return nil
}

// CheckRelayed returns an error unless the status and the fields of a response from another
// router are valid and the status is a final one. Routers of earlier versions do not check
// the responses of their backend servers.
func CheckRelayed(status int, fields []messenger.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return Error.New("status %d: %w", status, ErrInvalid)
	}
	for _, field := range fields {
		if err := checkField(field.Name, field.Values); err != nil {
			return err
		}
	}
	return nil
}

// maxQuoted is how many bytes of an invalid field are quoted in an error.
const maxQuoted = 40

func checkField(name string, values []string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return Error.New("field name %q: %w", name[:min(len(name), maxQuoted)], ErrInvalid)
	}
	for _, value := range values {
		if !httpguts.ValidHeaderFieldValue(value) {
			return Error.New("value of field %s: %w", name, ErrInvalid)
		}
	}
	return nil
}
