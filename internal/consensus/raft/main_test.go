package raft

import (
	"testing"

	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
