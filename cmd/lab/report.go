package main

import "sycamoreledge.example/internal/lab/report"

// reportCmd writes the page of measurements.
type reportCmd struct {
	Results string `help:"Directory of the saved results." default:"out/measure" type:"existingdir"`
	Page    string `help:"Page to write the tables into." default:"docs/MEASURES.md" type:"existingfile"`
	Files   string `help:"Directory of the CSV files and plots." default:"docs/measures" type:"path"`
}

// Run writes the page, the CSV files and the plots.
func (c *reportCmd) Run() error {
	return report.Write(report.Options{Results: c.Results, Page: c.Page, Files: c.Files})
}
