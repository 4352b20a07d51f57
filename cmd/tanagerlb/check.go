package main

import (
	"fmt"
	"os"
	"regexp"

	"github.com/tanagerlb/tanagerlb/internal/config"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"Settings or a document"`
	} `positional-args:"yes" required:"yes"`
}

// serviceLine matches the top-level key "service", which every document has and no
// settings file has.
var serviceLine = regexp.MustCompile(`(?m)^["']?service["']?\s*:`)

// Execute checks a settings file or a document. If there are findings, it returns
// them as an error.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if serviceLine.Match(text) {
		if _, err := parseDocument(c.Args.File, text); err != nil {
			return err
		}
		fmt.Println("document ok")
		return nil
	}
	if _, err := config.Parse(c.Args.File, text); err != nil {
		return err
	}
	fmt.Println("settings ok")
	return nil
}

func parseDocument(file string, text []byte) (*spec.Document, error) {
	return spec.Parse(file, text, nil)
}
