/**
 * The agent beside one minion: keeps the minion's room exactly, starts and stops runs, renews their lease while their
 * owners are heard, and passes their ends on. Input and output are behind
 * {@link org.chivetally.queue.agent.MinionPort}.
 */
package org.chivetally.queue.agent;
