/** Selection of the agent for each task, based on the reports and results of the agents; free of side effects. */
package org.chivetally.placement;
