package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/config"
	"github.com/tanagerlb/tanagerlb/internal/daemon"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"YAML file with the VM's settings"`
}

// Execute runs an entry VM until SIGTERM or SIGINT and then shuts it down
// gracefully.
func (c *serveCommand) Execute([]string) error {
	settings, err := config.Read(c.Settings)
	if err != nil {
		return err
	}
	logger, err := newLogger(settings.Logging.Level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.Start(settings, logger)
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	bounded, cancel := context.WithTimeout(context.Background(), settings.Limits.ShutdownTimeout)
	defer cancel()
	return d.Shutdown(bounded)
}

func newLogger(level string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if err := c.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("invalid log level %q: %w", level, err)
	}
	logger, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("create logger: %w", err)
	}
	return logger, nil
}
