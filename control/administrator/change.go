package administrator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/messenger"
)

const maxIdempotencyKeyBytes = 256

// propose replicates a change and returns the result of applying it. Followers
// redirect or refuse the call.
func (a *Administrator) propose(c echo.Context, command *assigner.Command) (assigner.Result, error) {
	if err := a.requireLeader(c); err != nil {
		return assigner.Result{}, err
	}
	command.Time = time.Now().UnixMilli()
	data, err := assigner.Encode(command)
	if err != nil {
		return assigner.Result{}, Error.New("encoding the change: %w", err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	proposal, err := a.replica.Propose(ctx, data)
	if err != nil {
		return assigner.Result{}, Error.New("committing the change: %w", err)
	}
	result, ok := proposal.Result.(assigner.Result)
	if !ok {
		return assigner.Result{}, Error.New("result of type %T", proposal.Result)
	}
	return result, nil
}

// parseCondition reads the precondition and the idempotency key of a change from
// the request header.
func parseCondition(c echo.Context) (assigner.Condition, error) {
	header := c.Request().Header
	condition := assigner.Condition{Idempotency: header.Get(messenger.HeaderIdempotencyKey)}
	if len(condition.Idempotency) > maxIdempotencyKeyBytes {
		return condition, newRefusal(http.StatusBadRequest, "malformed", "Idempotency-Key is longer than 256 bytes")
	}
	ifMatch := header.Get("If-Match")
	ifNoneMatch := header.Get("If-None-Match")
	switch {
	case ifMatch != "" && ifNoneMatch != "":
		return condition, newRefusal(http.StatusBadRequest, "malformed", "If-Match and If-None-Match exclude each other")
	case ifNoneMatch != "" && ifNoneMatch != "*":
		return condition, newRefusal(http.StatusBadRequest, "malformed", "If-None-Match must be *")
	case ifMatch == "":
		return condition, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
	if err != nil || revision == 0 {
		return condition, newRefusal(http.StatusBadRequest, "malformed", `If-Match must be an ETag such as "17"`)
	}
	condition.Revision = revision
	return condition, nil
}

func formatETag(revision uint64) string {
	return `"` + strconv.FormatUint(revision, 10) + `"`
}

// writeResult responds to a change according to its result. T is the type of the
// changed value.
func writeResult[T any](c echo.Context, result assigner.Result) error {
	switch result.Verdict {
	case assigner.VerdictApplied:
		c.Response().Header().Set("ETag", formatETag(result.Revision))
		return c.JSON(http.StatusOK, messenger.Accepted{Revision: result.Revision})
	case assigner.VerdictConflict:
		return conflictError[T](result)
	case assigner.VerdictInvalid:
		return newRefusal(http.StatusUnprocessableEntity, "invalid", result.Field+": "+result.Reason)
	case assigner.VerdictMismatch:
		return newRefusal(http.StatusUnprocessableEntity, "mismatch", result.Reason)
	case assigner.VerdictNotFound:
		return newRefusal(http.StatusNotFound, "absent", result.Reason)
	}
	return Error.New("verdict %d", result.Verdict)
}

// conflictError returns the refusal of a change whose precondition failed. It
// includes the current value, if there is one.
func conflictError[T any](result assigner.Result) error {
	conflict := newRefusal(http.StatusPreconditionFailed, "conflict", "the value changed since; the current one is shown")
	conflict.problem.Revision = result.Revision
	if result.Current == nil {
		conflict.problem.Detail = "there is no such value now"
		return conflict
	}
	current := new(T)
	if err := decoder.Unmarshal(result.Current, current); err != nil {
		return Error.New("decoding the current value: %w", err)
	}
	conflict.problem.Current = current
	return conflict
}
