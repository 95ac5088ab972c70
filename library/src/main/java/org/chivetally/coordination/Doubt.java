package org.chivetally.coordination;

import org.chivetally.placement.AgentView;

/** Attempts of one job at one agent whose fate is being asked for. */
final class Doubt {
    final JobProgress job;
    final AgentView agent;
    /** Request id of the question that is open; zero when none is. */
    long requestId;
    /** When the open question was sent. */
    long askedAt;

    AlarmQueue.Entry repeat;

    Doubt(JobProgress job, AgentView agent) {
        this.job = job;
        this.agent = agent;
    }
}
