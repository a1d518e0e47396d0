package loader

import (
	"net/http"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// interactiveWork is the processing time of an interactive request.
const interactiveWork = 10 * time.Millisecond

// Mix is the mix of requests that callers send to one service.
type Mix struct {
	Service string
	// KeyPrefix is the prefix of the keys.
	KeyPrefix string
	Kinds     []Kind
}

// Mixes returns the mixes of the four services of the plans.
func Mixes() []Mix {
	return []Mix{findingsMix(), reportsMix(), enquiryMix(), recordsMix()}
}

// FindMix returns the mix of a service, or false if there is none.
func FindMix(service string) (Mix, bool) {
	mixes := Mixes()
	i := slices.IndexFunc(mixes, func(m Mix) bool { return m.Service == service })
	if i < 0 {
		return Mix{}, false
	}
	return mixes[i], true
}

func findingsMix() Mix {
	return Mix{Service: "findings", KeyPrefix: "door-", Kinds: []Kind{
		{Name: "finding", Class: messenger.ClassInteractive, Method: http.MethodGet, Route: "findings", Weight: 85, Work: interactiveWork},
		{Name: "certificate", Class: messenger.ClassInteractive, Method: http.MethodPost, Route: "certificates", Weight: 5, HasIdempotencyKey: true, BodyBytes: 2 << 10, Work: interactiveWork},
		{Name: "archive", Class: messenger.ClassBackground, Method: http.MethodGet, Route: "archive", Weight: 10, Work: 60 * time.Millisecond, ResponsePaddingBytes: 64 << 10},
	}}
}

func reportsMix() Mix {
	return Mix{Service: "reports", KeyPrefix: "report-", Kinds: []Kind{
		{Name: "report", Class: messenger.ClassInteractive, Method: http.MethodGet, Route: "reports", Weight: 60, Work: interactiveWork},
		{Name: "photos", Class: messenger.ClassBackground, Method: http.MethodGet, Route: "photos", Weight: 20, Work: 40 * time.Millisecond, ResponsePaddingBytes: 256 << 10},
		{Name: "archive", Class: messenger.ClassBackground, Method: http.MethodGet, Route: "archive", Weight: 20, Work: 60 * time.Millisecond, ResponsePaddingBytes: 64 << 10},
	}}
}

func enquiryMix() Mix {
	return Mix{Service: "enquiry", KeyPrefix: "application-", Kinds: []Kind{
		{Name: "status", Class: messenger.ClassInteractive, Method: http.MethodGet, Route: "status", Weight: 85, Work: interactiveWork},
		{Name: "lodgement", Class: messenger.ClassInteractive, Method: http.MethodPost, Route: "applications", Weight: 15, HasIdempotencyKey: true, BodyBytes: 8 << 10, Work: interactiveWork},
	}}
}

func recordsMix() Mix {
	return Mix{Service: "records", KeyPrefix: "record-", Kinds: []Kind{
		{Name: "status", Class: messenger.ClassInteractive, Method: http.MethodGet, Route: "status", Weight: 50, Work: interactiveWork},
		{Name: "tariff", Class: messenger.ClassInteractive, Method: http.MethodGet, Route: "tariffs", Weight: 35, Work: interactiveWork},
		{Name: "survey", Class: messenger.ClassBackground, Method: http.MethodGet, Route: "surveys", Weight: 15, Work: 40 * time.Millisecond, ResponsePaddingBytes: 128 << 10},
	}}
}
