/** Immutable values for jobs, tasks, their outcomes, and the policies of services and teams. */
package org.chivetally.job;
