/** What a configuration allows: routes, services, customers and limits, as one immutable table. */
package org.geraniumford.core.service;
