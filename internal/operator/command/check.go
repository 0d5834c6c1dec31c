package command

import (
	"os"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/config/bundle"
	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// Prints every fault of the files.
func (ses *session) check() int {
	files, err := readFiles(ses.opts.Check.Args.Files)
	if err != nil {
		return ses.fail(err)
	}
	_, findings := bundle.Load(files)
	for _, finding := range findings {
		ses.sayf("%s", finding)
	}
	if len(findings) > 0 {
		return option.ExitFailed
	}
	ses.sayf("%d files are good", len(files))
	return option.ExitDone
}

func readFiles(names []string) ([]bundle.File, error) {
	files := make([]bundle.File, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read file")
		}
		files = append(files, bundle.File{Name: name, Data: data})
	}
	return files, nil
}
