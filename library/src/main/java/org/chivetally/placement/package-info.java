/** Pure decisions about which agent gets the next task, from what its reports and results showed. */
package org.chivetally.placement;
