package broken_test

import "testing"

func TestBroken(t *testing.T) { undefined(t) }
