package main

import (
	"context"
	"os"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/demo"
)

// demoTimeout is the maximum duration of the whole demonstration.
const demoTimeout = 30 * time.Second

type demoCommand struct{}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return demo.Run(ctx, os.Stdout)
}
