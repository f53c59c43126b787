package permit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/permit"
)

func TestPermitValid(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		expiresAt time.Time
		want      bool
	}{
		"before expiry": {expiresAt: now.Add(time.Second), want: true},
		"at expiry":     {expiresAt: now, want: false},
		"after expiry":  {expiresAt: now.Add(-time.Second), want: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, permit.Permit{ExpiresAt: tt.expiresAt}.Valid(now))
		})
	}
}
