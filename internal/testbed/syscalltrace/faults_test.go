package syscalltrace

import (
	"strings"
	"testing"
	"time"
)

// ParseFaultPlan rejects an invalid plan with a one-line error that names the field.
func TestParseFaultPlan(t *testing.T) {
	for text, want := range map[string]string{
		"":                                    "is not name=value",
		"errno=EIO":                           "calls= is missing",
		"calls=fly,errno=EIO":                 `unknown call "fly"`,
		"calls=connect,errno=EOOPS":           `unknown errno "EOOPS"`,
		"calls=connect":                       `unknown errno ""`,
		"calls=connect,errno=short":           `"connect" cannot be shortened`,
		"calls=read,errno=EINTR,share=much":   `"share=much"`,
		"calls=read,errno=EINTR,from=later":   `"from=later"`,
		"calls=read,errno=EINTR,colour=green": `"colour=green": unknown field`,
	} {
		_, err := ParseFaultPlan(text)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// A fault begins after its delay, lasts for its duration and recurs with its period.
func TestFaultTimes(t *testing.T) {
	plan, err := ParseFaultPlan("calls=connect,errno=ENOBUFS,from=3s,for=1s,every=4s")
	if err != nil {
		t.Fatal(err)
	}
	for at, want := range map[time.Duration]bool{
		0: false, 2999 * time.Millisecond: false, 3 * time.Second: true, 3999 * time.Millisecond: true, 4 * time.Second: false,
		6999 * time.Millisecond: false, 7 * time.Second: true, 8 * time.Second: false,
	} {
		if plan.activeAt(at) != want {
			t.Errorf("at %v: active %v", at, !want)
		}
	}
}
