package org.chivetally.load;

import java.util.List;

/**
 * Broken promises found in a run. Each is named, so that logs can be searched for it.
 *
 * @param duplicateStarts tokens of tasks that started again when they must not
 * @param partialAnswers keys of submissions told complete whose answers are not exactly the ones asked for
 * @param falseRefusals keys of submissions told not-run of which a task had started: all their requests were told so,
 *     or one that was sent after the start
 * @param cutRequests keys of requests whose connection closed unanswered while their entry stopped gracefully
 * @param startsAfterLeaving tokens of tasks that started at a minion longer than the grace after it began to leave
 * @param conflictingOutcomes keys of submissions of which one request got the whole answer and another was told that
 *     the job had failed
 * @param contradictedRefusals keys of submissions of which one request was told not-run after a task had started for
 *     another request of the same key; where all requests were told not-run it is a false refusal
 * @param unrecordedAnswers tokens that stand in a complete answer without a recorded start; a minion's record was lost,
 *     or the answer was made up
 */
public record CheckResult(
        List<String> duplicateStarts,
        List<String> partialAnswers,
        List<String> falseRefusals,
        List<String> cutRequests,
        List<String> startsAfterLeaving,
        List<String> conflictingOutcomes,
        List<String> contradictedRefusals,
        List<String> unrecordedAnswers) {
    /** Copies the lists. */
    public CheckResult {
        duplicateStarts = List.copyOf(duplicateStarts);
        partialAnswers = List.copyOf(partialAnswers);
        falseRefusals = List.copyOf(falseRefusals);
        cutRequests = List.copyOf(cutRequests);
        startsAfterLeaving = List.copyOf(startsAfterLeaving);
        conflictingOutcomes = List.copyOf(conflictingOutcomes);
        contradictedRefusals = List.copyOf(contradictedRefusals);
        unrecordedAnswers = List.copyOf(unrecordedAnswers);
    }

    /** Tells whether any promise was broken. */
    public boolean passed() {
        return duplicateStarts.isEmpty()
                && partialAnswers.isEmpty()
                && falseRefusals.isEmpty()
                && cutRequests.isEmpty()
                && startsAfterLeaving.isEmpty()
                && conflictingOutcomes.isEmpty();
    }
}
