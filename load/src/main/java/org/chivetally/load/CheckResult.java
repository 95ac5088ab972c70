package org.chivetally.load;

import java.util.List;

/**
 * Violated guarantees of a run, and observations that point to lost records. Each list holds the keys or tokens
 * concerned, which can be searched for in logs.
 *
 * @param duplicateStarts tokens of tasks that were started again although this is not allowed
 * @param partialAnswers keys of submissions whose complete answer differs from the expected one
 * @param falseRefusals keys of submissions that were reported as not run although a task had started: either all of
 *     their requests, or one that was sent after the start
 * @param cutRequests keys of requests whose connection was closed without a response while their entry was stopping
 *     gracefully
 * @param startsAfterLeaving tokens of tasks that started on a minion later than
 *     {@link DrainingMinion#PROPAGATION_LIMIT} after its drain began
 * @param conflictingOutcomes keys of submissions for which one request returned a complete answer and another one a
 *     failure of the job
 * @param contradictedRefusals keys of submissions for which one request was refused as not run after a task had started
 *     for another request of the same key; if all requests were refused, the key is in {@code falseRefusals} instead
 * @param unrecordedAnswers tokens in complete answers without a recorded start: either the records of a minion were
 *     lost, or the answer was fabricated
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

    /** Returns whether no guarantee was violated. Contradicted refusals and unrecorded answers are not violations. */
    public boolean passed() {
        return duplicateStarts.isEmpty()
                && partialAnswers.isEmpty()
                && falseRefusals.isEmpty()
                && cutRequests.isEmpty()
                && startsAfterLeaving.isEmpty()
                && conflictingOutcomes.isEmpty();
    }
}
