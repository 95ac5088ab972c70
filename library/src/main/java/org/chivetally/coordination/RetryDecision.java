package org.chivetally.coordination;

/** Whether a task that did not succeed is tried again, and if not, why. */
enum RetryDecision {
    AGAIN("again"),
    NOT_IDEMPOTENT("not-idempotent"),
    FINISHED_EARLIER("finished-earlier"),
    ATTEMPTS_USED("attempts-used"),
    DEADLINE_NEAR("deadline-near"),
    BUDGET_USED("budget-used");

    private final String text;

    RetryDecision(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
