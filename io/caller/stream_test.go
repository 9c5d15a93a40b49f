package caller

import (
	"context"
	"testing"

	"cicadabeam/core/fault"
)

func TestDisconnectedCallerHasItsOwnErrorCode(t *testing.T) {
	for err, want := range map[error]fault.Code{
		context.Canceled:                            fault.CallerLeft,
		context.DeadlineExceeded:                    fault.OutcomeUnknown,
		fault.New(fault.NoServer, "route", "llm-1"): fault.NoServer,
	} {
		if got := fault.From(readerError(err)).Code(); got != want {
			t.Errorf("%v: got code %s, want %s", err, got, want)
		}
	}
}
