/**
 * A build step that rewrites class files: {@code invokedynamic} call sites for which the JVM would generate hidden
 * classes at run time become calls of static methods. The processes of the product don't load this package.
 */
package org.chivetally.linkage;
