package acceptor

import (
	"net/http"

	"marigoldhill/kernel/messenger"
)

// httpStatus returns the HTTP status for an outcome other than done and its reason.
func httpStatus(outcome messenger.Outcome, reason messenger.Reason) int {
	if outcome == messenger.OutcomeUnknown {
		return unknownStatus(reason)
	}
	return refusedStatus(reason)
}

func refusedStatus(reason messenger.Reason) int {
	switch reason {
	case messenger.ReasonMalformed:
		return http.StatusBadRequest
	case messenger.ReasonOversize:
		return http.StatusRequestEntityTooLarge
	case messenger.ReasonService, messenger.ReasonRoute:
		return http.StatusNotFound
	case messenger.ReasonMismatch:
		return http.StatusConflict
	case messenger.ReasonQuarantine:
		return http.StatusUnprocessableEntity
	case messenger.ReasonQueue, messenger.ReasonLimit, messenger.ReasonShare, messenger.ReasonFair:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func unknownStatus(reason messenger.Reason) int {
	switch reason {
	case messenger.ReasonExpired, messenger.ReasonRunning:
		return http.StatusGatewayTimeout
	case messenger.ReasonOversize:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadGateway
}
