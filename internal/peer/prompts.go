package peer

import (
	"encoding/binary"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// outgoingPrompts returns the evidence about prompts for a peer, or nil if there is none.
func (n *Node) outgoingPrompts(to string) *lanepb.PromptEvidence {
	report := n.options.Poison.Report(to)
	if report == nil {
		return nil
	}
	evidence := &lanepb.PromptEvidence{Have: unpackNumbers(report.Have)}
	for _, s := range report.Suspects {
		evidence.Suspects = append(evidence.Suspects, &lanepb.PromptSuspect{Id: s.ID, Incarnation: s.Incarnation, AgeMs: s.AgeMS, Parts: unpackNumbers(s.Parts)})
	}
	for _, a := range report.Answers {
		evidence.Answers = append(evidence.Answers, &lanepb.PromptAnswer{Part: a.Part, AgeMs: a.AgeMS})
	}
	for _, b := range report.Blocked {
		evidence.Blocks = append(evidence.Blocks, &lanepb.PromptBlock{Id: b.ID, Parts: unpackNumbers(b.Parts), AgeMs: b.AgeMS, LastCrashAgeMs: b.LastCrashAgeMS})
	}
	return evidence
}

// mergePrompts takes over the evidence of a peer as of a time.
func (n *Node) mergePrompts(from string, evidence *lanepb.PromptEvidence, at time.Time) {
	if n.options.Poison == nil {
		return
	}
	if evidence == nil {
		n.options.Poison.HandleReport(from, nil, at)
		return
	}
	report := &poison.Report{Have: packNumbers(evidence.GetHave())}
	for _, s := range evidence.GetSuspects() {
		report.Suspects = append(report.Suspects, poison.SuspectReport{ID: s.GetId(), Incarnation: s.GetIncarnation(), AgeMS: s.GetAgeMs(), Parts: packNumbers(s.GetParts())})
	}
	for _, a := range evidence.GetAnswers() {
		report.Answers = append(report.Answers, poison.AnswerReport{Part: a.GetPart(), AgeMS: a.GetAgeMs()})
	}
	for _, b := range evidence.GetBlocks() {
		report.Blocked = append(report.Blocked, poison.BlockReport{ID: b.GetId(), Parts: packNumbers(b.GetParts()), AgeMS: b.GetAgeMs(), LastCrashAgeMS: b.GetLastCrashAgeMs()})
	}
	n.options.Poison.HandleReport(from, report, at)
}

// numberBytes is the size of a number in a report.
const numberBytes = 8

func packNumbers(numbers []uint64) []byte {
	data := make([]byte, 0, numberBytes*len(numbers))
	for _, number := range numbers {
		data = binary.LittleEndian.AppendUint64(data, number)
	}
	return data
}

func unpackNumbers(data []byte) []uint64 {
	numbers := make([]uint64, 0, len(data)/numberBytes)
	for ; len(data) >= numberBytes; data = data[numberBytes:] {
		numbers = append(numbers, binary.LittleEndian.Uint64(data))
	}
	return numbers
}
